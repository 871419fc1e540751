//! OpenAI-style requests and answers.

use bytes::Bytes;
use serde_json::{Map, Value, json};
use smol_str::SmolStr;
use viz::StatusCode;

use super::failure::Failure;
use super::prefix::PrefixChain;
use crate::derive_value;
use crate::ids::Tokens;

/// Bytes of text that count as one token.
pub const BYTES_PER_TOKEN: usize = 4;

/// Answer length when the request names none, in tokens.
const DEFAULT_OUTPUT: Tokens = 256;

/// Longest answer that may be asked for, in tokens.
const MAX_OUTPUT: Tokens = 65_536;

derive_value! {
    /// A completion request as the entry needs it.
    pub struct CompletionRequest {
        /// Model.
        pub model: SmolStr,
        /// Whether the caller wants a stream.
        pub stream: bool,
        /// Prompt length.
        pub prompt_tokens: Tokens,
        /// Longest answer.
        pub output_tokens: Tokens,
        /// Prefixes of the prompt.
        pub chain: PrefixChain,
        /// Body for the engine, streaming set.
        pub body: Bytes,
    }
}

fn bad(message: impl Into<String>) -> Failure {
    Failure::not_run(StatusCode::BAD_REQUEST, "invalid_request", message)
}

/// Reads a request body.
///
/// # Errors
/// A failure that says which field is wrong.
pub fn parse(body: &[u8], chat: bool) -> Result<CompletionRequest, Failure> {
    let text = |e: serde_json::Error| bad(format!("the body is not a JSON object: {e}"));
    let mut fields: Map<String, Value> = serde_json::from_slice(body).map_err(text)?;
    let model = match fields.get("model") {
        Some(Value::String(model)) if !model.is_empty() => SmolStr::new(model),
        _ => return Err(bad("model has to be the name of a model; see /v1/models")),
    };
    let stream = match fields.get("stream") {
        None | Some(Value::Null) => false,
        Some(Value::Bool(stream)) => *stream,
        Some(_) => return Err(bad("stream has to be true or false")),
    };
    if fields.get("n").is_some_and(|n| n.as_u64() != Some(1)) {
        return Err(bad("n has to be 1"));
    }
    let output_tokens = read_output(&fields)?;
    let (chars, chain) = if chat { read_messages(&fields)? } else { read_prompt(&mut fields)? };
    fields.insert("stream".into(), Value::Bool(true));
    fields.insert("max_tokens".into(), output_tokens.into());
    fields.insert("stream_options".into(), json!({ "include_usage": true }));
    let body = serde_json::to_vec(&fields).unwrap_or_default();
    Ok(CompletionRequest {
        model,
        stream,
        prompt_tokens: chars.div_ceil(BYTES_PER_TOKEN).max(1) as Tokens,
        output_tokens,
        chain,
        body: body.into(),
    })
}

fn read_output(fields: &Map<String, Value>) -> Result<Tokens, Failure> {
    let given = fields.get("max_tokens").or_else(|| fields.get("max_completion_tokens"));
    match given {
        None | Some(Value::Null) => Ok(DEFAULT_OUTPUT),
        Some(value) => match value.as_u64() {
            Some(n) if (1..=MAX_OUTPUT).contains(&n) => Ok(n),
            _ => Err(bad(format!("max_tokens has to be from 1 to {MAX_OUTPUT}"))),
        },
    }
}

fn read_prompt(fields: &mut Map<String, Value>) -> Result<(usize, PrefixChain), Failure> {
    if let Some(Value::Array(list)) = fields.get_mut("prompt")
        && let [Value::String(_)] = list.as_slice()
    {
        let only = list.remove(0);
        fields.insert("prompt".into(), only);
    }
    match fields.get("prompt") {
        Some(Value::String(prompt)) if !prompt.is_empty() => {
            Ok((prompt.len(), PrefixChain::of(prompt)))
        }
        _ => Err(bad("prompt has to be one text that is not empty")),
    }
}

fn read_messages(fields: &Map<String, Value>) -> Result<(usize, PrefixChain), Failure> {
    let wrong = || bad("messages has to be a list of objects with role and content texts");
    let Some(Value::Array(messages)) = fields.get("messages") else { return Err(wrong()) };
    if messages.is_empty() {
        return Err(wrong());
    }
    let mut whole = String::new();
    for message in messages {
        let role = message.get("role").and_then(Value::as_str).ok_or_else(wrong)?;
        let content = message.get("content").and_then(Value::as_str).ok_or_else(wrong)?;
        whole.push_str(role);
        whole.push('\n');
        whole.push_str(content);
        whole.push('\n');
    }
    Ok((whole.len(), PrefixChain::of(&whole)))
}

/// Body that continues an answer after the part that was streamed.
pub fn continue_body(body: &Bytes, chat: bool, streamed: &str, output_tokens: Tokens) -> Bytes {
    let Ok(mut fields) = serde_json::from_slice::<Map<String, Value>>(body) else {
        return body.clone();
    };
    fields.insert("max_tokens".into(), output_tokens.into());
    if chat {
        if let Some(Value::Array(messages)) = fields.get_mut("messages") {
            messages.push(json!({ "role": "assistant", "content": streamed }));
        }
        fields.insert("continue_final_message".into(), Value::Bool(true));
        fields.insert("add_generation_prompt".into(), Value::Bool(false));
    } else if let Some(Value::String(prompt)) = fields.get_mut("prompt") {
        prompt.push_str(streamed);
    }
    serde_json::to_vec(&fields).unwrap_or_default().into()
}

/// Bodies of the parts of a prompt that a group of engines shares, in equal parts.
///
/// `None` for chats, whose messages only an engine can put together.
pub fn split_body(body: &Bytes, parts: usize) -> Option<Vec<Bytes>> {
    let mut fields: Map<String, Value> = serde_json::from_slice(body).ok()?;
    let Some(Value::String(prompt)) = fields.remove("prompt") else { return None };
    let size = prompt.len().div_ceil(parts);
    let mut bodies = Vec::new();
    let mut start = 0;
    for part in 1..=parts {
        let wanted = if part == parts { prompt.len() } else { (size * part).min(prompt.len()) };
        let end = (wanted..=prompt.len()).find(|at| prompt.is_char_boundary(*at))?;
        fields.insert("prompt".into(), prompt[start..end].into());
        bodies.push(Bytes::from(serde_json::to_vec(&fields).ok()?));
        start = end;
    }
    Some(bodies)
}

derive_value! {
    /// Names that an answer repeats in each of its parts.
    pub struct AnswerShape {
        /// Request.
        pub id: SmolStr,
        /// Model.
        pub model: SmolStr,
        /// Chat instead of plain completion.
        pub chat: bool,
        /// Seconds since 1970.
        pub created: u64,
    }
}

impl AnswerShape {
    fn part(&self, object: &str, choice: Value) -> Value {
        json!({
            "id": self.id.as_str(),
            "object": object,
            "created": self.created,
            "model": self.model.as_str(),
            "choices": [choice],
        })
    }

    /// One event of a stream with a part of the text.
    pub fn event(&self, text: &str) -> String {
        let (object, choice) = match self.chat {
            true => (
                "chat.completion.chunk",
                json!({ "index": 0, "delta": { "content": text }, "finish_reason": null }),
            ),
            false => {
                ("text_completion", json!({ "index": 0, "text": text, "finish_reason": null }))
            }
        };
        format!("data: {}\n\n", self.part(object, choice))
    }

    /// Last events of a whole stream.
    pub fn last_events(&self, finish: &str, prompt_tokens: Tokens, tokens: Tokens) -> String {
        let (object, choice) = match self.chat {
            true => (
                "chat.completion.chunk",
                json!({ "index": 0, "delta": {}, "finish_reason": finish }),
            ),
            false => {
                ("text_completion", json!({ "index": 0, "text": "", "finish_reason": finish }))
            }
        };
        let mut last = self.part(object, choice);
        last["usage"] = usage(prompt_tokens, tokens);
        last["bitternlead"] = json!({ "outcome": "done" });
        format!("data: {last}\n\ndata: [DONE]\n\n")
    }

    /// A whole answer.
    pub fn whole(&self, text: &str, finish: &str, prompt: Tokens, tokens: Tokens) -> Value {
        let (object, choice) = match self.chat {
            true => (
                "chat.completion",
                json!({
                    "index": 0,
                    "message": { "role": "assistant", "content": text },
                    "finish_reason": finish,
                }),
            ),
            false => {
                ("text_completion", json!({ "index": 0, "text": text, "finish_reason": finish }))
            }
        };
        let mut answer = self.part(object, choice);
        answer["usage"] = usage(prompt, tokens);
        answer
    }
}

fn usage(prompt: Tokens, tokens: Tokens) -> Value {
    json!({
        "prompt_tokens": prompt,
        "completion_tokens": tokens,
        "total_tokens": prompt + tokens,
    })
}

/// Body of a failure.
pub fn error_body(failure: &Failure, request: &str) -> Value {
    json!({
        "error": {
            "message": failure.message,
            "type": error_type(failure.status),
            "code": failure.code,
            "request_id": request,
            "outcome": failure.outcome.name(),
        }
    })
}

fn error_type(status: StatusCode) -> &'static str {
    match status.as_u16() {
        401 => "authentication_error",
        404 => "not_found_error",
        429 => "rate_limit_error",
        400..=499 => "invalid_request_error",
        _ => "server_error",
    }
}
