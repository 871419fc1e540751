//! Requests and responses in the format of the OpenAI completions API.

use bytes::Bytes;
use serde_json::{Map, Value, json};
use smol_str::SmolStr;
use viz::StatusCode;

use super::failure::Failure;
use super::prefix::PrefixChain;
use crate::derive_value;
use crate::ids::Tokens;

/// Bytes of text per token, used to estimate prompt lengths without a tokenizer.
pub const BYTES_PER_TOKEN: usize = 4;

/// Output limit of a request that does not set one, in tokens.
const DEFAULT_OUTPUT_TOKENS: Tokens = 256;

/// Largest output limit that a request may set, in tokens.
const MAX_OUTPUT_TOKENS: Tokens = 65_536;

derive_value! {
    /// Validated completion request.
    pub struct CompletionRequest {
        /// Requested model; not yet checked against the configuration.
        pub model: SmolStr,
        /// Whether the client requests a streamed response.
        pub stream: bool,
        /// Estimated prompt length, at least 1.
        pub prompt_tokens: Tokens,
        /// Largest number of tokens to generate.
        pub output_tokens: Tokens,
        /// Hashes of the prompt prefixes, for the prefix index.
        pub chain: PrefixChain,
        /// Request body for the engine, which always streams and reports its usage.
        pub body: Bytes,
    }
}

fn invalid_request(message: impl Into<String>) -> Failure {
    Failure::not_run(StatusCode::BAD_REQUEST, "invalid_request", message)
}

/// Parses and validates a request body.
///
/// # Errors
/// A failure that names the invalid field.
pub fn parse(body: &[u8], chat: bool) -> Result<CompletionRequest, Failure> {
    let text =
        |e: serde_json::Error| invalid_request(format!("the body is not a JSON object: {e}"));
    let mut fields: Map<String, Value> = serde_json::from_slice(body).map_err(text)?;
    let model = match fields.get("model") {
        Some(Value::String(model)) if !model.is_empty() => SmolStr::new(model),
        _ => return Err(invalid_request("model has to be the name of a model; see /v1/models")),
    };
    let stream = match fields.get("stream") {
        None | Some(Value::Null) => false,
        Some(Value::Bool(stream)) => *stream,
        Some(_) => return Err(invalid_request("stream has to be true or false")),
    };
    if fields.get("n").is_some_and(|n| n.as_u64() != Some(1)) {
        return Err(invalid_request("n has to be 1"));
    }
    let output_tokens = parse_output_tokens(&fields)?;
    let (text_len, chain) =
        if chat { parse_messages(&fields)? } else { parse_prompt(&mut fields)? };
    fields.insert("stream".into(), Value::Bool(true));
    fields.insert("max_tokens".into(), output_tokens.into());
    fields.insert("stream_options".into(), json!({ "include_usage": true }));
    let body = serde_json::to_vec(&fields).unwrap_or_default();
    Ok(CompletionRequest {
        model,
        stream,
        prompt_tokens: text_len.div_ceil(BYTES_PER_TOKEN).max(1) as Tokens,
        output_tokens,
        chain,
        body: body.into(),
    })
}

fn parse_output_tokens(fields: &Map<String, Value>) -> Result<Tokens, Failure> {
    let requested = fields.get("max_tokens").or_else(|| fields.get("max_completion_tokens"));
    match requested {
        None | Some(Value::Null) => Ok(DEFAULT_OUTPUT_TOKENS),
        Some(value) => match value.as_u64() {
            Some(n) if (1..=MAX_OUTPUT_TOKENS).contains(&n) => Ok(n),
            _ => {
                Err(invalid_request(format!("max_tokens has to be from 1 to {MAX_OUTPUT_TOKENS}")))
            }
        },
    }
}

fn parse_prompt(fields: &mut Map<String, Value>) -> Result<(usize, PrefixChain), Failure> {
    if let Some(Value::Array(list)) = fields.get_mut("prompt")
        && let [Value::String(_)] = list.as_slice()
    {
        let single_prompt = list.remove(0);
        fields.insert("prompt".into(), single_prompt);
    }
    match fields.get("prompt") {
        Some(Value::String(prompt)) if !prompt.is_empty() => {
            Ok((prompt.len(), PrefixChain::of(prompt)))
        }
        _ => Err(invalid_request("prompt has to be one text that is not empty")),
    }
}

fn parse_messages(fields: &Map<String, Value>) -> Result<(usize, PrefixChain), Failure> {
    let invalid =
        || invalid_request("messages has to be a list of objects with role and content texts");
    let Some(Value::Array(messages)) = fields.get("messages") else { return Err(invalid()) };
    if messages.is_empty() {
        return Err(invalid());
    }
    let mut messages_text = String::new();
    for message in messages {
        let role = message.get("role").and_then(Value::as_str).ok_or_else(invalid)?;
        let content = message.get("content").and_then(Value::as_str).ok_or_else(invalid)?;
        messages_text.push_str(role);
        messages_text.push('\n');
        messages_text.push_str(content);
        messages_text.push('\n');
    }
    Ok((messages_text.len(), PrefixChain::of(&messages_text)))
}

/// Builds the body of a further attempt that continues a response after the streamed part.
///
/// A completion appends the part to the prompt; a chat appends it as an unfinished message of the
/// assistant.
pub fn continuation_body(body: &Bytes, chat: bool, streamed: &str, output_tokens: Tokens) -> Bytes {
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

/// Splits a prompt into segments of about equal length, one body for each engine of a group.
///
/// Returns `None` for chats, because only an engine can apply the template to their messages.
pub fn split_body(body: &Bytes, segments: usize) -> Option<Vec<Bytes>> {
    let mut fields: Map<String, Value> = serde_json::from_slice(body).ok()?;
    let Some(Value::String(prompt)) = fields.remove("prompt") else { return None };
    let size = prompt.len().div_ceil(segments);
    let mut bodies = Vec::new();
    let mut start = 0;
    for segment in 1..=segments {
        let target_end =
            if segment == segments { prompt.len() } else { (size * segment).min(prompt.len()) };
        let end = (target_end..=prompt.len()).find(|at| prompt.is_char_boundary(*at))?;
        fields.insert("prompt".into(), prompt[start..end].into());
        bodies.push(Bytes::from(serde_json::to_vec(&fields).ok()?));
        start = end;
    }
    Some(bodies)
}

derive_value! {
    /// Fields that every chunk of a response repeats, and its format.
    pub struct ResponseFormat {
        /// Id of the request that the response answers.
        pub id: SmolStr,
        /// Model named by the request.
        pub model: SmolStr,
        /// Whether the response is a chat completion.
        pub chat: bool,
        /// Creation time in seconds since the Unix epoch.
        pub created: u64,
    }
}

impl ResponseFormat {
    fn object_with_choice(&self, object: &str, choice: Value) -> Value {
        json!({
            "id": self.id.as_str(),
            "object": object,
            "created": self.created,
            "model": self.model.as_str(),
            "choices": [choice],
        })
    }

    /// Builds a server-sent event with a part of the text.
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
        format!("data: {}\n\n", self.object_with_choice(object, choice))
    }

    /// Builds the last events of a complete stream: finish reason, usage and `[DONE]`.
    pub fn final_events(&self, finish: &str, prompt_tokens: Tokens, tokens: Tokens) -> String {
        let (object, choice) = match self.chat {
            true => (
                "chat.completion.chunk",
                json!({ "index": 0, "delta": {}, "finish_reason": finish }),
            ),
            false => {
                ("text_completion", json!({ "index": 0, "text": "", "finish_reason": finish }))
            }
        };
        let mut final_chunk = self.object_with_choice(object, choice);
        final_chunk["usage"] = usage(prompt_tokens, tokens);
        final_chunk["bitternlead"] = json!({ "outcome": "done" });
        format!("data: {final_chunk}\n\ndata: [DONE]\n\n")
    }

    /// Builds a complete response that is not streamed.
    pub fn full_object(&self, text: &str, finish: &str, prompt: Tokens, tokens: Tokens) -> Value {
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
        let mut answer = self.object_with_choice(object, choice);
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

/// Builds the JSON body of an error response.
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
