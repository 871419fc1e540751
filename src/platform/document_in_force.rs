//! Reads the configuration document in force from control.

use std::time::Duration;

use bytes::Bytes;
use http::header::LOCATION;
use http::uri::Authority;
use http::{Request, StatusCode, Uri};
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::time::timeout;

use super::control::DOCUMENT_PATH;
use crate::document::MAX_DOCUMENT_BYTES;

/// Time within which an address has to begin its response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time within which the whole document has to arrive. 8 MiB over a link of 20 Mbit/s, the slowest
/// of the hosts that run control, take 3.4 s.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Redirects that are followed from one address: a host without a replica names a replica, which
/// names the leader. A third one allows for a change of the leader meanwhile.
const MAX_REDIRECTS: usize = 3;

type HttpClient = Client<HttpConnector, Empty<Bytes>>;

/// Reads the document in force from the first of these addresses that answers with it, which is
/// returned too.
///
/// # Errors
/// No address answered with a document; the text has the reason of each.
pub async fn fetch(addresses: &[Authority]) -> Result<(String, Bytes), String> {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let mut reasons = Vec::new();
    for address in addresses {
        match fetch_from(&client, address).await {
            Ok(body) => return Ok((address.to_string(), body)),
            Err(reason) => reasons.push(format!("{address}: {reason}")),
        }
    }
    Err(reasons.join("; "))
}

/// Parses the addresses of control, `HOST:PORT` separated by commas.
///
/// ```
/// use bitternlead::platform::document_in_force::parse_addresses;
///
/// assert_eq!(parse_addresses("127.0.0.1:80, control:8080").unwrap().len(), 2);
/// assert!(parse_addresses("http://127.0.0.1:80").is_err());
/// assert!(parse_addresses("").is_err());
/// ```
///
/// # Errors
/// There is no address, or one is not valid.
pub fn parse_addresses(list: &str) -> Result<Vec<Authority>, String> {
    let texts = list.split(',').map(str::trim).filter(|text| !text.is_empty());
    let parse = |text: &str| {
        let parsed = text.parse::<Authority>().ok();
        let usable = parsed.filter(|a| a.port_u16().is_some() && !a.as_str().contains('@'));
        usable.ok_or_else(|| format!("{text:?} is no address; give HOST:PORT,..."))
    };
    let addresses = texts.map(parse).collect::<Result<Vec<_>, _>>()?;
    if addresses.is_empty() {
        return Err("no address of control; give HOST:PORT,...".into());
    }
    Ok(addresses)
}

async fn fetch_from(client: &HttpClient, address: &Authority) -> Result<Bytes, String> {
    let mut uri: Uri =
        format!("http://{address}{DOCUMENT_PATH}").parse().map_err(|e| format!("{e}"))?;
    for _ in 0..=MAX_REDIRECTS {
        let request = Request::get(&uri).body(Empty::new()).map_err(|e| e.to_string())?;
        let response = timeout(RESPONSE_TIMEOUT, client.request(request))
            .await
            .map_err(|_| format!("no response within {} ms", RESPONSE_TIMEOUT.as_millis()))?
            .map_err(|e| describe(&e))?;
        match response.status() {
            StatusCode::OK => {
                let body = Limited::new(response.into_body(), MAX_DOCUMENT_BYTES).collect();
                let body = timeout(BODY_TIMEOUT, body).await.map_err(|_| {
                    format!("the document did not arrive within {} s", BODY_TIMEOUT.as_secs())
                })?;
                return body.map(|b| b.to_bytes()).map_err(|e| format!("no whole document: {e}"));
            }
            StatusCode::TEMPORARY_REDIRECT => {
                let location = response.headers().get(LOCATION).and_then(|v| v.to_str().ok());
                let target = location.and_then(|text| text.parse::<Uri>().ok());
                let is_http = |uri: &Uri| uri.scheme_str() == Some("http");
                uri = target.filter(is_http).ok_or("redirects to no usable address")?;
            }
            StatusCode::SERVICE_UNAVAILABLE => {
                return Err("has no leader or no document yet (status 503)".into());
            }
            status => return Err(format!("answered with status {status}")),
        }
    }
    Err("redirects too often".into())
}

/// The cause of a failed call, which the text of the client does not include.
fn describe(error: &hyper_util::client::legacy::Error) -> String {
    let mut source: &dyn std::error::Error = error;
    while let Some(cause) = source.source() {
        source = cause;
    }
    format!("not reached: {source}")
}
