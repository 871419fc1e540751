//! What counts as an answer of an HTTP server, and how much may come before it.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use http::{Request, StatusCode};
use tokio::sync::Notify;

/// Informational responses before an answer beyond which a server counts as faulty.
const MAX_INFORMATIONAL: usize = 16;

/// Whether a status ends a request: 200 to 599. One below is informational, one above is none; a server
/// that switches protocols, which nobody here asks for, gives no answer either.
///
/// ```
/// use bitternlead::answer_bounds::is_answer;
/// use http::StatusCode;
///
/// assert!(is_answer(StatusCode::OK));
/// assert!(!is_answer(StatusCode::SWITCHING_PROTOCOLS));
/// assert!(!is_answer(StatusCode::from_u16(999).unwrap()));
/// ```
pub fn is_answer(status: StatusCode) -> bool {
    (200..=599).contains(&status.as_u16())
}

/// Counts the informational responses to a request.
#[derive(Clone, Debug, Default)]
pub struct InformationalWatch {
    exceeded: Arc<Notify>,
}

impl InformationalWatch {
    /// Attaches the watch to a request that is about to be sent.
    ///
    /// ```
    /// use bitternlead::answer_bounds::InformationalWatch;
    /// use http::Request;
    ///
    /// let mut req = Request::new(());
    /// let watch = InformationalWatch::default();
    /// watch.attach(&mut req);
    /// ```
    pub fn attach<B>(&self, req: &mut Request<B>) {
        let (count, exceeded) = (AtomicUsize::new(0), Arc::clone(&self.exceeded));
        hyper::ext::on_informational(req, move |_| {
            if count.fetch_add(1, Ordering::Relaxed) >= MAX_INFORMATIONAL {
                exceeded.notify_one();
            }
        });
    }

    /// Waits until the server has sent more than 16 of them; the connection is to be closed then.
    pub async fn exceeded(&self) {
        self.exceeded.notified().await;
    }
}
