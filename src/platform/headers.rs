//! Headers of requests and answers, and the bodies of orders to engines.

use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue, header, request, response};
use serde_json::json;
use smol_str::SmolStr;

use super::document;
use crate::findings::Findings;
use crate::gateway::config::GatewayConfig;
use crate::gateway::dialect::{CallerHead, DeclaredTokens, Dialect, ResponseHead, SendOptions};
use crate::wire::Document;

/// Identity of one attempt of a caller; answers repeat it.
const REQUEST_ID: HeaderName = HeaderName::from_static("attempt-id");
/// Milliseconds that are left.
const LEFT_MS: HeaderName = HeaderName::from_static("deadline-ms");
/// Key of a workspace.
const KEY: HeaderName = HeaderName::from_static("api-key");
/// Name of a workspace.
const WORKSPACE: HeaderName = HeaderName::from_static("tenant");
/// Event after which a stream goes on.
const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");
/// Prompt tokens and most output tokens.
const TOKENS: HeaderName = HeaderName::from_static("token-usage");
/// Estimated output tokens.
const OUTPUT_ESTIMATE: HeaderName = HeaderName::from_static("length-hint");
/// Identity that the endpoint has to have.
const ENDPOINT: HeaderName = HeaderName::from_static("expect-instance");
/// Engines that share the reading.
const HELPERS: HeaderName = HeaderName::from_static("helpers");
/// Rank at the engine.
const RANK: HeaderName = HeaderName::from_static("priority-class");
/// Signature of the endpoint.
const SIGNATURE: HeaderName = HeaderName::from_static("server-signature");
/// Word of the endpoint that the request did not run.
const NOT_RUN: HeaderName = HeaderName::from_static("not-executed");
/// Endpoint that is at fault.
const AT_FAULT: HeaderName = HeaderName::from_static("at-server");
/// Life of an idle connection.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Headers that concern one connection only.
const PER_CONNECTION: [HeaderName; 9] = [
    header::CONNECTION,
    KEEP_ALIVE,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::EXPECT,
];

/// Headers that only the system sets on the way to an endpoint.
const SET_BY_SYSTEM: [HeaderName; 7] =
    [KEY, WORKSPACE, LEFT_MS, ENDPOINT, HELPERS, RANK, header::CONTENT_LENGTH];

/// The platform's protocol.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlatformDialect;

impl Dialect for PlatformDialect {
    fn decode_caller(&self, head: &request::Parts) -> CallerHead {
        let host = text(&head.headers, &header::HOST).or_else(|| head.uri.host());
        CallerHead {
            id: SmolStr::new(text(&head.headers, &REQUEST_ID).unwrap_or_default()),
            host: SmolStr::new(strip_port(host.unwrap_or_default())),
            timeout: number(&head.headers, &LEFT_MS).map(Duration::from_millis),
            key: text(&head.headers, &KEY).map(SmolStr::new),
            last_event: number(&head.headers, &LAST_EVENT),
            tokens: text(&head.headers, &TOKENS).and_then(parse_tokens),
            expected_output: number(&head.headers, &OUTPUT_ESTIMATE),
        }
    }

    fn encode_request(&self, caller: &HeaderMap, options: &SendOptions) -> HeaderMap {
        let named = named_in_connection(caller);
        let mut headers = HeaderMap::with_capacity(caller.len() + 4);
        for (name, value) in caller {
            let dropped = PER_CONNECTION.contains(name)
                || SET_BY_SYSTEM.contains(name)
                || named.contains(&name.as_str().to_owned());
            if !dropped {
                headers.append(name, value.clone());
            }
        }
        set(&mut headers, LEFT_MS, &options.remaining.as_millis().to_string());
        set(&mut headers, ENDPOINT, &options.endpoint);
        if let Some(workspace) = &options.workspace {
            set(&mut headers, WORKSPACE, workspace);
        }
        if let Some(last) = options.last_event {
            set(&mut headers, LAST_EVENT, &last.to_string());
        }
        if let Some(rank) = options.rank {
            set(&mut headers, RANK, &rank.to_string());
        }
        if !options.helpers.is_empty() {
            let list: Vec<String> = options.helpers.iter().map(encode_helper).collect();
            set(&mut headers, HELPERS, &list.join(","));
        }
        headers
    }

    fn decode_response(&self, head: &response::Parts) -> ResponseHead {
        let headers = &head.headers;
        let closes_connection = text(headers, &header::CONNECTION)
            .is_some_and(|v| v.split(',').any(|w| w.trim().eq_ignore_ascii_case("close")));
        ResponseHead {
            id: text(headers, &REQUEST_ID).map(SmolStr::new),
            signed: headers.contains_key(SIGNATURE),
            not_run: headers.contains_key(NOT_RUN),
            failing_endpoint: text(headers, &AT_FAULT).map(SmolStr::new),
            keep_alive: text(headers, &KEEP_ALIVE).and_then(parse_keep_alive),
            closes_connection,
            unencoded: !headers.contains_key(header::CONTENT_ENCODING),
        }
    }

    fn encode_response(&self, endpoint: &HeaderMap) -> HeaderMap {
        let named = named_in_connection(endpoint);
        let mut headers = HeaderMap::with_capacity(endpoint.len());
        for (name, value) in endpoint {
            if !PER_CONNECTION.contains(name) && !named.contains(&name.as_str().to_owned()) {
                headers.append(name, value.clone());
            }
        }
        headers
    }

    fn mark_response(&self, id: &str, headers: &mut HeaderMap) {
        if !id.is_empty() && !headers.contains_key(REQUEST_ID) {
            set(headers, REQUEST_ID, id);
        }
    }

    fn decode_document(&self, document: &Document) -> Result<GatewayConfig, Findings> {
        document::decode(&document.body)
    }

    fn encode_reserve(&self, id: &str, tokens: u64, hold: Duration) -> (String, Vec<u8>) {
        let hold_ms = hold.as_millis() as u64;
        let body = json!({
            "Op": "reserve", "Id": id, "TokenCount": tokens, "HoldMs": hold_ms, "Backlog": false,
        });
        ("/api/order".into(), body.to_string().into_bytes())
    }

    fn encode_release(&self, id: &str) -> (String, Vec<u8>) {
        let body = json!({ "Op": "release", "Id": id });
        ("/api/order".into(), body.to_string().into_bytes())
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok().map(str::trim)
}

fn number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    text(headers, name)?.parse().ok()
}

fn set(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

fn strip_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    }
}

fn parse_tokens(value: &str) -> Option<DeclaredTokens> {
    let (prompt, output) = value.split_once(',')?;
    Some(DeclaredTokens {
        prompt: prompt.trim().parse().ok()?,
        output: output.trim().parse().ok()?,
    })
}

fn parse_keep_alive(value: &str) -> Option<Duration> {
    let seconds = value.split(',').find_map(|p| p.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

/// Names of further headers that concern one connection only.
fn named_in_connection(headers: &HeaderMap) -> Vec<String> {
    let Some(value) = text(headers, &header::CONNECTION) else { return Vec::new() };
    value.split(',').map(|name| name.trim().to_ascii_lowercase()).collect()
}

fn encode_helper((address, reservation): &(String, Option<SmolStr>)) -> String {
    match reservation {
        Some(id) => format!("{address}/{id}"),
        None => address.clone(),
    }
}
