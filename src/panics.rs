//! Panics: each one is logged and counted, and ends only the work that it happened in.

use std::future::Future;
use std::panic::{AssertUnwindSafe, PanicHookInfo};
use std::sync::LazyLock;

use futures::FutureExt;
use prometheus_client::metrics::counter::Counter;
use slog::Logger;
use smol_str::SmolStr;

use crate::event;

/// Number of panics in this process.
pub static PANICS: LazyLock<Counter> = LazyLock::new(Counter::default);

tokio::task_local! {
    /// Id of the request that the task works on.
    static REQUEST: SmolStr;
}

/// The work panicked; the panic is logged and counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Panicked;

/// Makes each panic of this process write a log event, before the message on standard error.
pub fn log_panics(log: Logger) {
    let print = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        PANICS.inc();
        log_panic(&log, info);
        print(info);
    }));
}

fn log_panic(log: &Logger, info: &PanicHookInfo<'_>) {
    let place = info.location().map(ToString::to_string).unwrap_or_default();
    let request = REQUEST.try_with(Clone::clone).unwrap_or_default();
    let message = info.payload_as_str().unwrap_or("no message");
    event!(log, Panicked, "place" => place, "message" => message, "request" => request.as_str(),
        "thread" => std::thread::current().name().unwrap_or_default());
}

/// Works on a request; a panic names it in the log, and is returned.
///
/// ```
/// use bitternlead::panics::{Panicked, work_on_request};
///
/// let runtime = tokio::runtime::Builder::new_current_thread().build().unwrap();
/// let work = work_on_request("r-1".into(), async { panic!("a fault of ours") });
/// let result: Result<(), Panicked> = runtime.block_on(work);
/// assert_eq!(result, Err(Panicked));
/// ```
///
/// # Errors
/// If the work panics.
pub async fn work_on_request<T>(
    request: SmolStr,
    work: impl Future<Output = T>,
) -> Result<T, Panicked> {
    catch(REQUEST.scope(request, work)).await
}

/// Runs a future to its end, or to a panic.
///
/// # Errors
/// If the future panics.
pub async fn catch<T>(work: impl Future<Output = T>) -> Result<T, Panicked> {
    // What a panic may leave half changed is behind locks whose holders leave no broken state.
    AssertUnwindSafe(work).catch_unwind().await.map_err(|_| Panicked)
}
