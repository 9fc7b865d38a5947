//! OpenAI-compatible requests and answers.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rhubarbrock::{action, event, prompt};
use rhubarbrock_schema::peer;
use serde::{Deserialize, Serialize};

use crate::answer;

/// Path of chat completions.
pub const CHAT_PATH: &str = "/v1/chat/completions";

/// Path of text completions.
pub const COMPLETIONS_PATH: &str = "/v1/completions";

/// Fields of a request that this system reads; the engine receives the others unchanged.
#[derive(Debug, Deserialize)]
struct Request {
    model: String,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(default)]
    stream_options: Option<StreamOptions>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    n: Option<u32>,
    #[serde(default)]
    best_of: Option<u32>,
    #[serde(default)]
    logprobs: Option<serde_json::Value>,
    #[serde(default)]
    tools: Option<serde_json::Value>,
    #[serde(default)]
    functions: Option<serde_json::Value>,
    #[serde(default)]
    echo: Option<bool>,
    #[serde(default)]
    deadline_ms: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

/// Parses a request to `path`. The error is a description for the caller.
///
/// The caller fills in `call`, `key_sha256` and `secret`.
pub fn parse(path: &str, body: &[u8]) -> Result<event::ModelCall, String> {
    let text = std::str::from_utf8(body).map_err(|_| "the body is not UTF-8".to_owned())?;
    let invalid = |error: serde_json::Error| format!("the body is not valid: {error}");
    let value: serde_json::Value = serde_json::from_str(text).map_err(invalid)?;
    let request = Request::deserialize(&value).map_err(invalid)?;
    check_supported(&request)?;
    let is_chat = path == CHAT_PATH;
    let parsed = if is_chat {
        prompt::Prompt::from_chat(&value)
    } else {
        prompt::Prompt::from_completion(&value)
    };
    let prompt = parsed.map_err(|fault| fault.to_string())?;
    let max_tokens = request.max_completion_tokens.or(request.max_tokens);
    if max_tokens == Some(0) {
        return Err("`max_tokens` must be at least 1".to_owned());
    }
    let streamed = request.stream.unwrap_or(false);
    let fingerprint = prompt::fingerprint(&request.model, &prompt.text);
    Ok(event::ModelCall {
        call: 0,
        key_sha256: [0; 32],
        service: request.model,
        path: path.to_owned(),
        body: text.to_owned(),
        is_chat,
        streamed,
        stream_usage: request.stream_options.is_some_and(|options| options.include_usage),
        max_tokens,
        blocks: prompt.blocks,
        prompt_tokens: prompt.tokens,
        dialogue: prompt.dialogue,
        settled_tokens: prompt.settled_tokens,
        fingerprint,
        deadline: request.deadline_ms.map(Duration::from_millis),
        secret: 0,
    })
}

/// Rejects fields that require more of an answer than a single text.
fn check_supported(request: &Request) -> Result<(), String> {
    let unsupported = [
        ("n", request.n.is_some_and(|n| n != 1)),
        ("best_of", request.best_of.is_some_and(|n| n != 1)),
        ("logprobs", request.logprobs.as_ref().is_some_and(|v| !is_off(v))),
        ("tools", is_given(&request.tools)),
        ("functions", is_given(&request.functions)),
        ("echo", request.echo == Some(true)),
    ];
    for (field, found) in unsupported {
        if found {
            return Err(format!("`{field}` is not supported: an answer is one text"));
        }
    }
    Ok(())
}

fn is_given(value: &Option<serde_json::Value>) -> bool {
    value.as_ref().is_some_and(|value| !value.is_null())
}

fn is_off(value: &serde_json::Value) -> bool {
    value.is_null() || *value == serde_json::Value::Bool(false)
}

#[derive(Serialize)]
struct AnswerBody<'a> {
    id: &'a str,
    object: &'a str,
    created: u64,
    model: &'a str,
    choices: Vec<Choice<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Serialize, Default)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<AnswerMessage<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Delta<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    logprobs: Option<()>,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct AnswerMessage<'a> {
    role: &'a str,
    content: &'a str,
}

#[derive(Serialize, Default)]
struct Delta<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

#[derive(Serialize)]
struct Usage {
    prompt_tokens: u32,
    completion_tokens: u32,
    total_tokens: u32,
    prompt_tokens_details: PromptTokensDetails,
}

#[derive(Serialize)]
struct PromptTokensDetails {
    cached_tokens: u32,
}

#[derive(Serialize)]
struct StreamError<'a> {
    error: StreamErrorBody<'a>,
}

#[derive(Serialize)]
struct StreamErrorBody<'a> {
    message: &'a str,
    r#type: &'a str,
    code: &'a str,
}

fn usage(finish: &peer::Finish) -> Usage {
    Usage {
        prompt_tokens: finish.prompt_tokens,
        completion_tokens: finish.completion_tokens,
        total_tokens: finish.prompt_tokens + finish.completion_tokens,
        prompt_tokens_details: PromptTokensDetails { cached_tokens: finish.cached_tokens },
    }
}

/// JSON body of a complete answer.
pub fn full_answer(metadata: &answer::Metadata, text: &str, finish: &peer::Finish) -> Vec<u8> {
    let id = metadata.request.to_string();
    let mut choice = Choice { finish_reason: Some(&finish.reason), ..Choice::default() };
    if metadata.is_chat {
        choice.message = Some(AnswerMessage { role: "assistant", content: text });
    } else {
        choice.text = Some(text);
    }
    let body = AnswerBody {
        id: &id,
        object: if metadata.is_chat { "chat.completion" } else { "text_completion" },
        created: metadata.created_s,
        model: &metadata.service,
        choices: vec![choice],
        usage: Some(usage(finish)),
    };
    serde_json::to_vec(&body).unwrap_or_default()
}

/// Encodes an answer as server-sent events.
#[derive(Debug)]
pub struct EventWriter {
    metadata: Arc<answer::Metadata>,
    id: String,
}

impl EventWriter {
    /// Creates a writer for the answer with this metadata.
    pub fn new(metadata: Arc<answer::Metadata>) -> EventWriter {
        let id = metadata.request.to_string();
        EventWriter { metadata, id }
    }

    /// Events for a part that starts at byte `offset`, including the final events if the part has
    /// the finish.
    pub fn part_events(&self, offset: u64, part: &answer::Part) -> Bytes {
        let mut out = Vec::new();
        let mut end = offset;
        if offset == 0 && self.metadata.is_chat {
            let delta = Delta { role: Some("assistant"), content: Some("") };
            self.push(&mut out, 0, Choice { delta: Some(delta), ..Choice::default() });
        }
        for chunk in &part.chunks {
            end += chunk.len() as u64;
            self.push(&mut out, end, self.text_choice(chunk));
        }
        if let Some(finish) = &part.finish {
            self.push_finish(&mut out, end, finish);
        }
        Bytes::from(out)
    }

    fn text_choice<'a>(&self, chunk: &'a str) -> Choice<'a> {
        if self.metadata.is_chat {
            let delta = Delta { role: None, content: Some(chunk) };
            Choice { delta: Some(delta), ..Choice::default() }
        } else {
            Choice { text: Some(chunk), ..Choice::default() }
        }
    }

    fn push_finish(&self, out: &mut Vec<u8>, end: u64, finish: &peer::Finish) {
        if !finish.error.is_empty() {
            let body =
                StreamErrorBody { message: &finish.error, r#type: "server_error", code: "failed" };
            push_event(out, &self.id, end, &StreamError { error: body });
            return;
        }
        let mut last = Choice { finish_reason: Some(&finish.reason), ..Choice::default() };
        if self.metadata.is_chat {
            last.delta = Some(Delta::default());
        } else {
            last.text = Some("");
        }
        self.push(out, end, last);
        if self.metadata.stream_usage {
            push_event(out, &self.id, end, &self.chunk_body(Vec::new(), Some(usage(finish))));
        }
        out.extend_from_slice(b"data: [DONE]\n\n");
    }

    fn push(&self, out: &mut Vec<u8>, offset: u64, choice: Choice<'_>) {
        push_event(out, &self.id, offset, &self.chunk_body(vec![choice], None));
    }

    fn chunk_body<'a>(&'a self, choices: Vec<Choice<'a>>, usage: Option<Usage>) -> AnswerBody<'a> {
        AnswerBody {
            id: &self.id,
            object: if self.metadata.is_chat { "chat.completion.chunk" } else { "text_completion" },
            created: self.metadata.created_s,
            model: &self.metadata.service,
            choices,
            usage,
        }
    }
}

fn push_event(out: &mut Vec<u8>, id: &str, offset: u64, data: &impl Serialize) {
    out.extend_from_slice(format!("id: {id}:{offset}\ndata: ").as_bytes());
    out.extend_from_slice(&serde_json::to_vec(data).unwrap_or_default());
    out.extend_from_slice(b"\n\n");
}

#[derive(Serialize)]
struct ModelList<'a> {
    object: &'a str,
    data: Vec<ModelEntry<'a>>,
}

#[derive(Serialize)]
struct ModelEntry<'a> {
    id: &'a str,
    object: &'a str,
    created: u64,
    owned_by: &'a str,
}

/// JSON body of `/v1/models`, which lists the services as models.
pub fn models(services: &[action::ServiceSummary]) -> Vec<u8> {
    let data = services
        .iter()
        .map(|service| ModelEntry {
            id: &service.name,
            object: "model",
            created: service.created_s,
            owned_by: "rhubarbrock",
        })
        .collect();
    serde_json::to_vec(&ModelList { object: "list", data }).unwrap_or_default()
}
