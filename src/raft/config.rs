//! Settings of the protocol.

use std::time::Duration;

/// Timing and size bounds of the protocol.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RaftConfig {
    /// Time without contact to a leader after which a replica may start an election; the actual
    /// wait is between one and two times this value, at random.
    pub election_timeout: Duration,
    /// Interval between a leader's heartbeats.
    pub heartbeat: Duration,
    /// Maximum number of entries in one append message.
    pub max_append_entries: usize,
    /// Size of the entries in one append message beyond which no further entry is added, in bytes.
    pub max_append_bytes: usize,
    /// Maximum number of snapshot bytes in one message.
    pub snapshot_chunk_bytes: usize,
    /// Number of voters to reach; `None` makes all learners voters.
    ///
    /// When it is reached, a caught-up learner takes the place of a voter that is unreachable or about to leave.
    pub wanted_voters: Option<usize>,
    /// Number of learners that become voters beyond `wanted_voters`, while all voters answer. They are what
    /// is left when voters are gone before their silence can be told from a pause.
    pub surplus_voters: usize,
    /// Maximum wait between elections of a replica that has not seen a leader since it started;
    /// `None` uses `election_timeout`.
    ///
    /// A replica that sets this grants votes right after its start, although it may have
    /// acknowledged a leader shortly before. [`super::Raft::may_read`] alone then no longer excludes a
    /// newer leader: a read has to wait for a quorum acknowledgement after its arrival.
    pub startup_election_timeout: Option<Duration>,
    /// Additional wait before the first election of a new cluster, in which its other voters learn
    /// that they were selected.
    pub bootstrap_election_delay: Duration,
    /// Time without a reply after which a voter may be replaced by a caught-up learner that replies.
    pub voter_replacement_delay: Duration,
    /// Time without a reply after which a voter loses its vote while there are more than wanted, unless it is one of the
    /// newest. One that comes back joins again.
    pub surplus_voter_timeout: Duration,
}

impl Default for RaftConfig {
    fn default() -> Self {
        Self {
            election_timeout: Duration::from_millis(800),
            heartbeat: Duration::from_millis(150),
            max_append_entries: 512,
            max_append_bytes: 256 * 1024,
            snapshot_chunk_bytes: 256 * 1024,
            wanted_voters: None,
            surplus_voters: 2,
            startup_election_timeout: None,
            bootstrap_election_delay: Duration::ZERO,
            voter_replacement_delay: Duration::from_secs(2),
            surplus_voter_timeout: Duration::from_secs(1),
        }
    }
}
