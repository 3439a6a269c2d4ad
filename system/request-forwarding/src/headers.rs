//! Headers of forwarded requests and responses: which are end-to-end, and the values that forwarding reads.

use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use std::time::Duration;

pub(crate) const ATTEMPT_ID: HeaderName = HeaderName::from_static("attempt-id");
pub(crate) const DEADLINE_REMAINING: HeaderName = HeaderName::from_static("deadline-remaining");
pub(crate) const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("expect-instance");
pub(crate) const EXPECT_VERSION: HeaderName = HeaderName::from_static("expect-version");
pub(crate) const PRIORITY: HeaderName = HeaderName::from_static("priority");
pub(crate) const NOT_EXECUTED: HeaderName = HeaderName::from_static("not-executed");
pub(crate) const SERVER_SEAL: HeaderName = HeaderName::from_static("server-seal");
pub(crate) const SERVER_LOAD: HeaderName = HeaderName::from_static("server-load");
pub(crate) const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
pub(crate) const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Whether a header concerns one connection only, or the framing of a body (RFC 9110, 7.6.1).
fn is_hop_by_hop(name: &HeaderName) -> bool {
    [
        header::CONNECTION,
        KEEP_ALIVE,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
        header::CONTENT_LENGTH,
        header::EXPECT,
    ]
    .contains(name)
        || name.as_str().starts_with("proxy-")
}

/// The end-to-end headers: all but the hop-by-hop ones and those that `Connection` names.
pub(crate) fn forwarded(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .filter(|name| name != "attempt-id" && name != "host")
        .collect();
    let mut forwarded = HeaderMap::with_capacity(headers.len() + 4);
    for (name, value) in headers {
        if !is_hop_by_hop(name) && !named.iter().any(|named| named == name.as_str()) {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}

/// The value of a header that occurs exactly once.
pub(crate) fn single<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?.to_str().ok()?.trim();
    (values.next().is_none() && !value.is_empty()).then_some(value)
}

/// The trimmed text of the first header with this name.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok().map(str::trim)
}

/// A non-negative number, truncated to an integer.
pub(crate) fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    let value: f64 = text(headers, name)?.parse().ok()?;
    (value.is_finite() && value >= 0.0).then_some(value as u64)
}

/// Tokens of the prompt, and the maximum to generate.
pub(crate) fn token_usage(headers: &HeaderMap) -> Option<(u32, u32)> {
    let (prompt, max_tokens) = text(headers, "token-usage")?.split_once(',')?;
    Some((prompt.trim().parse().ok()?, max_tokens.trim().parse().ok()?))
}

/// A prompt prefix that other prompts may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PromptPrefix<'a> {
    pub(crate) id: &'a str,
    /// Number of tokens; 0 if the header states no valid number.
    pub(crate) tokens: u32,
}

/// The first prefix that the request states: the one that most other prompts share.
pub(crate) fn first_prompt_prefix(headers: &HeaderMap) -> Option<PromptPrefix<'_>> {
    let first = text(headers, "prompt-prefix")?.split(',').next()?;
    let (id, tokens) = first.split_once(':')?;
    Some(PromptPrefix { id: id.trim(), tokens: tokens.trim().parse().unwrap_or(0) })
}

/// Whether the body is an event stream.
pub(crate) fn is_event_stream(headers: &HeaderMap) -> bool {
    text(headers, header::CONTENT_TYPE.as_str())
        .is_some_and(|kind| kind.get(..17).is_some_and(|kind| kind.eq_ignore_ascii_case("text/event-stream")))
}

/// Whether the peer closes the connection after this message.
pub(crate) fn closes(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).iter();
    values
        .filter_map(|value| value.to_str().ok())
        .any(|value| value.split(',').any(|part| part.trim().eq_ignore_ascii_case("close")))
}

/// How long an idle connection may be reused: slightly less than `Keep-Alive` states.
pub(crate) fn idle_time(headers: &HeaderMap) -> Duration {
    let stated = text(headers, KEEP_ALIVE.as_str()).and_then(|value| {
        value.split(',').find_map(|part| {
            let (name, seconds) = part.split_once('=')?;
            (name.trim().eq_ignore_ascii_case("timeout")).then(|| seconds.trim().parse::<u32>().ok())?
        })
    });
    match stated {
        Some(seconds) => Duration::from_secs(seconds.into()).saturating_sub(Duration::from_millis(500)),
        None => Duration::from_secs(4),
    }
}

pub(crate) fn value(number: u64) -> HeaderValue {
    HeaderValue::from(number)
}

#[cfg(test)]
mod tests;
