//! Changes on disks whose every sync is slow.

use std::time::{Duration, Instant};

use crate::system_config;
use crate::testenv::TestEnv;

/// Time of each sync: three quarters of the replicas' election timeout, so that an election, with a sync
/// of the candidate and one of a voter, takes longer than that timeout.
const SYNC_DELAY_MS: u64 = 300;

/// Time within which a change is acknowledged (`AckMs`).
pub const ACK_LIMIT: Duration = Duration::from_millis(5000);

/// Guards against leaders that are lost, and elections that repeat for ever, because an
/// election takes longer than its timeout.
#[test]
fn changes_are_acknowledged_in_time_while_the_disks_are_slow() {
    let env = TestEnv::start(system_config());
    env.wait_serving();
    for control in &env.controls {
        env.set_fault(control, "store.sync", &format!("sleep({SYNC_DELAY_MS})"));
    }
    for n in 0..6 {
        let key = format!("slow-{n}");
        env.write_config(&env.rules(&format!("[[model]]\nname = \"{key}\"\n")));
        let start = Instant::now();
        let output = env.apply_with(&["--operation", &key]);
        let (took, text) = (start.elapsed(), String::from_utf8_lossy(&output.stderr));
        println!("{key}: {took:?}");
        assert!(output.status.success(), "{key} after {took:?}: {text}\n{}", env.logs());
        assert!(took < ACK_LIMIT, "{key} after {took:?}\n{}", env.logs());
    }
}
