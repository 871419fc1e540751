//! HTTP headers of the platform's requests and responses, and the bodies of its orders to engines.

use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header, request, response};
use serde_json::json;
use smol_str::SmolStr;

use super::document;
use crate::findings::{Findings, Place};
use crate::gateway::config::GatewayConfig;
use crate::gateway::dialect::{CallerHead, DeclaredTokens, Dialect, ResponseHead, SendOptions};
use crate::wire::Document;

/// Id of one attempt of a caller; responses repeat it.
const ATTEMPT_ID: HeaderName = HeaderName::from_static("attempt-id");
/// Milliseconds that remain until the caller's deadline.
const DEADLINE_MS: HeaderName = HeaderName::from_static("deadline-ms");
/// Key that authenticates a caller; never sent to endpoints.
const API_KEY: HeaderName = HeaderName::from_static("api-key");
/// Workspace of the caller, sent to endpoints; a value from the caller is dropped.
const WORKSPACE: HeaderName = HeaderName::from_static("tenant");
/// Id of the last event received; a resumed stream continues after it.
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
/// Prompt tokens and the maximum of output tokens, separated by a comma.
const TOKEN_USAGE: HeaderName = HeaderName::from_static("token-usage");
/// Parts of the prompt in order: a list of `ID:TOKENS`.
const PREFIX_HASH: HeaderName = HeaderName::from_static("prefix-hash");
/// Caller's estimate of the output tokens.
const LENGTH_HINT: HeaderName = HeaderName::from_static("length-hint");
/// Id of the endpoint that is meant; another one that has taken over the address refuses.
const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("expect-instance");
/// Engines that prefill a part of the prompt: a list of `ADDRESS` or `ADDRESS/RESERVATION`.
const HELPERS: HeaderName = HeaderName::from_static("helpers");
/// Priority at the engine from 0 to 9; 0 is the most urgent.
const PRIORITY_CLASS: HeaderName = HeaderName::from_static("priority-class");
/// Signature that an endpoint adds to what it answers itself.
const SERVER_SIGNATURE: HeaderName = HeaderName::from_static("server-signature");
/// Present if the endpoint guarantees that the request did not run.
const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");
/// Endpoint that caused an error, if it is another than the one that answers.
const AT_SERVER: HeaderName = HeaderName::from_static("at-server");
/// Requests a second that the endpoint takes from all entries together.
const SERVER_LIMIT: HeaderName = HeaderName::from_static("server-limit");
/// `1` if the endpoint leaves and wants no more requests.
const SERVER_LEAVING: HeaderName = HeaderName::from_static("server-leaving");
/// Milliseconds for which the endpoint stays cold, in its answers to health checks; 0 if it is not
/// cold.
const COLD_MS: HeaderName = HeaderName::from_static("cold-ms");
/// Time for which the endpoint keeps an idle connection open.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Hop-by-hop headers, which are not forwarded.
const HOP_BY_HOP: [HeaderName; 9] = [
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

/// Headers of callers that are replaced or dropped on the way to an endpoint.
const RESERVED: [HeaderName; 7] = [
    API_KEY,
    WORKSPACE,
    DEADLINE_MS,
    EXPECT_INSTANCE,
    HELPERS,
    PRIORITY_CLASS,
    header::CONTENT_LENGTH,
];

/// Implements the platform's protocol for the gateway.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlatformDialect;

impl Dialect for PlatformDialect {
    fn decode_caller(&self, head: &request::Parts) -> CallerHead {
        let host = header_text(&head.headers, &header::HOST).or_else(|| head.uri.host());
        CallerHead {
            id: SmolStr::new(header_text(&head.headers, &ATTEMPT_ID).unwrap_or_default()),
            host: SmolStr::new(strip_port(host.unwrap_or_default())),
            timeout: header_number(&head.headers, &DEADLINE_MS).map(Duration::from_millis),
            key: header_text(&head.headers, &API_KEY).map(SmolStr::new),
            last_event: header_number(&head.headers, &LAST_EVENT_ID),
            tokens: header_text(&head.headers, &TOKEN_USAGE).and_then(parse_token_usage),
            expected_output: header_number(&head.headers, &LENGTH_HINT),
            prompt_parts: header_text(&head.headers, &PREFIX_HASH)
                .map(parse_prompt_parts)
                .unwrap_or_default(),
        }
    }

    fn encode_request(&self, caller: &HeaderMap, options: &SendOptions) -> HeaderMap {
        let connection_headers = parse_connection(caller);
        let mut headers = HeaderMap::with_capacity(caller.len() + 4);
        for (name, value) in caller {
            let is_dropped = HOP_BY_HOP.contains(name)
                || RESERVED.contains(name)
                || connection_headers.contains(&name.as_str().to_owned());
            if !is_dropped {
                headers.append(name, value.clone());
            }
        }
        set_header(&mut headers, DEADLINE_MS, &options.remaining.as_millis().to_string());
        set_header(&mut headers, EXPECT_INSTANCE, &options.endpoint);
        if let Some(workspace) = &options.workspace {
            set_header(&mut headers, WORKSPACE, workspace);
        }
        if let Some(last) = options.last_event {
            set_header(&mut headers, LAST_EVENT_ID, &last.to_string());
        }
        if let Some(rank) = options.rank {
            set_header(&mut headers, PRIORITY_CLASS, &rank.to_string());
        }
        if !options.helpers.is_empty() {
            let list: Vec<String> = options.helpers.iter().map(encode_helper).collect();
            set_header(&mut headers, HELPERS, &list.join(","));
        }
        headers
    }

    fn decode_response(&self, head: &response::Parts) -> ResponseHead {
        let headers = &head.headers;
        let closes_connection = header_text(headers, &header::CONNECTION)
            .is_some_and(|v| v.split(',').any(|w| w.trim().eq_ignore_ascii_case("close")));
        ResponseHead {
            id: header_text(headers, &ATTEMPT_ID).map(SmolStr::new),
            signed: headers.contains_key(SERVER_SIGNATURE),
            not_run: headers.contains_key(NOT_EXECUTED),
            failing_endpoint: header_text(headers, &AT_SERVER).map(SmolStr::new),
            keep_alive: header_text(headers, &KEEP_ALIVE).and_then(parse_keep_alive),
            closes_connection,
            is_leaving: header_text(headers, &SERVER_LEAVING) == Some("1"),
            retry_after: header_text(headers, &header::RETRY_AFTER)
                .filter(|_| head.status == StatusCode::SERVICE_UNAVAILABLE)
                .and_then(parse_retry_after),
            limit_per_s: header_text(headers, &SERVER_LIMIT).and_then(parse_limit),
            cold_time: header_text(headers, &COLD_MS).and_then(parse_cold_time),
            unencoded: !headers.contains_key(header::CONTENT_ENCODING),
        }
    }

    fn encode_response(&self, endpoint: &HeaderMap) -> HeaderMap {
        let connection_headers = parse_connection(endpoint);
        let mut headers = HeaderMap::with_capacity(endpoint.len());
        for (name, value) in endpoint {
            if !HOP_BY_HOP.contains(name) && !connection_headers.contains(&name.as_str().to_owned())
            {
                headers.append(name, value.clone());
            }
        }
        headers
    }

    fn mark_response(&self, id: &str, headers: &mut HeaderMap) {
        if !id.is_empty() && !headers.contains_key(ATTEMPT_ID) {
            set_header(headers, ATTEMPT_ID, id);
        }
    }

    fn decode_document(&self, document: &Document) -> Result<GatewayConfig, Findings> {
        match document.content() {
            Ok(content) => document::decode(&content),
            Err(e) => {
                let mut findings = Findings::default();
                findings.add(Place::Whole("document".into()), e.to_string());
                Err(findings)
            }
        }
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

fn header_text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok().map(str::trim)
}

fn header_number(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    header_text(headers, name)?.parse().ok()
}

fn set_header(headers: &mut HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Host without the port, as it is compared with the hosts of routes.
pub(super) fn strip_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    }
}

fn parse_token_usage(value: &str) -> Option<DeclaredTokens> {
    let (prompt, output) = value.split_once(',')?;
    Some(DeclaredTokens {
        prompt: prompt.trim().parse().ok()?,
        output: output.trim().parse().ok()?,
    })
}

fn parse_prompt_parts(value: &str) -> Vec<SmolStr> {
    let parts = value.split(',').map(|part| part.split(':').next().unwrap_or_default().trim());
    parts.filter(|id| !id.is_empty()).map(SmolStr::new).collect()
}

fn parse_keep_alive(value: &str) -> Option<Duration> {
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

/// Parses a time in seconds; what is no positive number names no time.
fn parse_retry_after(value: &str) -> Option<Duration> {
    let seconds = value.parse().ok().filter(|s: &f64| s.is_finite() && *s > 0.0)?;
    Duration::try_from_secs_f64(seconds).ok()
}

/// Parses a rate; what is no number of zero or more names no limit.
fn parse_limit(value: &str) -> Option<f64> {
    value.parse().ok().filter(|limit: &f64| limit.is_finite() && *limit >= 0.0)
}

/// Parses a time in milliseconds; what is no number of zero or more states nothing.
fn parse_cold_time(value: &str) -> Option<Duration> {
    let ms = value.parse().ok().filter(|ms: &f64| ms.is_finite() && *ms >= 0.0)?;
    Duration::try_from_secs_f64(ms / 1000.0).ok()
}

/// Names in the `Connection` header, which are hop-by-hop too.
fn parse_connection(headers: &HeaderMap) -> Vec<String> {
    let Some(value) = header_text(headers, &header::CONNECTION) else { return Vec::new() };
    value.split(',').map(|name| name.trim().to_ascii_lowercase()).collect()
}

fn encode_helper((address, reservation): &(String, Option<SmolStr>)) -> String {
    match reservation {
        Some(id) => format!("{address}/{id}"),
        None => address.clone(),
    }
}
