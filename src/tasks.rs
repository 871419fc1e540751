//! Tasks that run as long as their process. One that panics is started again, or ends the process, so that no
//! part of it stands still unseen.

use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::time::Duration;

use slog::Logger;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::event;
use crate::exit_codes::ExitCode;
use crate::panics::catch;

/// Delay before a task that panicked is started again; it doubles with each panic.
const MIN_RESTART_DELAY: Duration = Duration::from_millis(100);
const MAX_RESTART_DELAY: Duration = Duration::from_secs(5);

/// Spawns a task whose state outlives it; after a panic it is built and started again.
pub fn spawn_restarting<F>(
    name: &'static str,
    log: Logger,
    build: impl Fn() -> F + Send + 'static,
) -> JoinHandle<()>
where
    F: Future<Output = ()> + Send + 'static,
{
    tokio::spawn(async move {
        let mut delay = MIN_RESTART_DELAY;
        while catch(build()).await.is_err() {
            event!(log, TaskRestarted, "task" => name, "after_ms" => delay.as_millis() as u64);
            sleep(delay).await;
            delay = (delay * 2).min(MAX_RESTART_DELAY);
        }
    })
}

/// Runs a thread whose state is lost with it; a panic ends the process.
pub fn run_essential_thread(name: &'static str, log: Logger, work: impl FnOnce() + Send + 'static) {
    std::thread::spawn(move || {
        // The state is not used after a panic.
        if std::panic::catch_unwind(AssertUnwindSafe(work)).is_err() {
            event!(log, TaskLost, "task" => name);
            std::thread::sleep(MIN_RESTART_DELAY);
            std::process::exit(ExitCode::Failure as i32);
        }
    });
}

/// Spawns a task whose state is lost with it; a panic ends the process.
pub fn spawn_essential(
    name: &'static str,
    log: Logger,
    work: impl Future<Output = ()> + Send + 'static,
) -> JoinHandle<()> {
    tokio::spawn(async move {
        if catch(work).await.is_err() {
            event!(log, TaskLost, "task" => name);
            // The log is written by a thread of its own.
            sleep(MIN_RESTART_DELAY).await;
            std::process::exit(ExitCode::Failure as i32);
        }
    })
}
