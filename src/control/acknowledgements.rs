//! Acknowledgements of an announcement by other replicas.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::timeout;

/// Acknowledges one announcement on behalf of one replica; cloned for each of them.
pub type AckSender = mpsc::UnboundedSender<()>;

/// Receives the acknowledgements of one announcement.
pub struct Acknowledgements {
    rx: mpsc::UnboundedReceiver<()>,
}

impl Acknowledgements {
    /// Builds the two sides for one announcement.
    ///
    /// ```
    /// use std::time::Duration;
    /// use bitternlead::control::acknowledgements::Acknowledgements;
    ///
    /// # tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap().block_on(async {
    /// let (ack, acknowledgements) = Acknowledgements::channel();
    /// ack.send(()).unwrap();
    /// assert!(acknowledgements.wait(1, Duration::from_millis(10)).await);
    /// # });
    /// ```
    pub fn channel() -> (AckSender, Self) {
        let (tx, rx) = mpsc::unbounded_channel();
        (tx, Self { rx })
    }

    /// Waits for `wanted` acknowledgements. Returns false if they do not arrive within `limit`.
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
