//! Confirmations of other replicas that they know an announcement.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::timeout;

/// Confirms one announcement on behalf of one replica; cloned for each of them.
pub type Confirm = mpsc::UnboundedSender<()>;

/// Receives the confirmations of one announcement.
pub struct Confirmations {
    rx: mpsc::UnboundedReceiver<()>,
}

impl Confirmations {
    /// Builds the two sides for one announcement.
    ///
    /// ```
    /// use std::time::Duration;
    /// use bitternlead::control::confirmations::Confirmations;
    ///
    /// # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
    /// let (confirm, confirmations) = Confirmations::channel();
    /// confirm.send(()).unwrap();
    /// assert!(confirmations.wait(1, Duration::from_millis(10)).await);
    /// # });
    /// ```
    pub fn channel() -> (Confirm, Self) {
        let (tx, rx) = mpsc::unbounded_channel();
        (tx, Self { rx })
    }

    /// Waits for `wanted` confirmations. Returns false if they do not arrive within `limit`.
    pub async fn wait(mut self, wanted: usize, limit: Duration) -> bool {
        let all_arrived = async {
            for _ in 0..wanted {
                if self.rx.recv().await.is_none() {
                    return false;
                }
            }
            true
        };
        timeout(limit, all_arrived).await.unwrap_or(false)
    }
}
