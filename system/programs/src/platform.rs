//! Client of the platform's endpoint list, which is read page by page.

use bytes::Bytes;
use fleet_model::{Endpoint, EndpointState};
use hyper::{Method, StatusCode};
use message_sender::net::connection::{Connection, request};
use message_sender::net::received_body::read_body;
use serde::Deserialize;
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::time::timeout;

/// Timeout of one page.
const PAGE_TIMEOUT: Duration = Duration::from_millis(900);
/// Maximum number of pages of one read.
const MAX_PAGES: usize = 400;
/// Maximum size of a page, in bytes.
const MAX_PAGE_BYTES: usize = 4 * 1024 * 1024;
/// Maximum size of all pages of one read, in bytes.
const MAX_LIST_BYTES: usize = 16 * 1024 * 1024;
/// Maximum length of the token of a next page, in bytes: it is part of a path.
const MAX_TOKEN_BYTES: usize = 4 * 1024;

/// Why the list could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ListError {
    /// No answer, or a broken one.
    #[error("no answer: {0}")]
    NoAnswer(String),
    /// Another status than 200.
    #[error("status {0}")]
    Status(StatusCode),
    /// A list that does not end, or a token that is no part of a path.
    #[error("the list is too long")]
    TooLong,
    /// An answer that is no list.
    #[error("no list: {0}")]
    Unreadable(String),
}

#[derive(Deserialize)]
struct Page {
    instances: Vec<Instance>,
    #[serde(default)]
    next_page_token: Option<String>,
}

#[derive(Deserialize)]
struct Instance {
    instance_id: String,
    service: String,
    address: SocketAddrV4,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    capacity_slots: f64,
    state: String,
}

impl From<Instance> for Endpoint {
    fn from(instance: Instance) -> Self {
        Endpoint {
            instance_id: instance.instance_id,
            service: instance.service,
            address: instance.address,
            zone: instance.zone,
            capacity_slots: instance.capacity_slots.clamp(0.0, 1e6) as u32,
            state: if instance.state == "ready" { EndpointState::Ready } else { EndpointState::Draining },
        }
    }
}

/// Reads a page's text.
///
/// # Errors
///
/// [`ListError::Unreadable`] if the text is no page of the list.
pub fn read_page(text: &[u8]) -> Result<(Vec<Endpoint>, Option<String>), ListError> {
    let page: Page = serde_json::from_slice(text).map_err(|e| ListError::Unreadable(e.to_string()))?;
    Ok((page.instances.into_iter().map(Endpoint::from).collect(), page.next_page_token))
}

/// Client of the list, with one persistent connection.
pub struct Platform {
    address: SocketAddrV4,
    connection: Option<Connection>,
}

impl Platform {
    /// Of the platform at `address`.
    pub fn new(address: SocketAddrV4) -> Self {
        Self { address, connection: None }
    }

    /// The whole list, sorted; endpoints that moved between pages while they were read stand once.
    ///
    /// # Errors
    ///
    /// [`ListError`] if any page could not be read in time; a partial list is never returned.
    pub async fn read(&mut self) -> Result<Vec<Endpoint>, ListError> {
        let mut all: Vec<Endpoint> = Vec::new();
        let mut token = None;
        let mut list_bytes = 0;
        for _ in 0..MAX_PAGES {
            let text = match timeout(PAGE_TIMEOUT, self.page(token.as_deref())).await {
                Ok(text) => text?,
                Err(_) => return Err(ListError::NoAnswer("silence".to_owned())),
            };
            list_bytes += text.len();
            if list_bytes > MAX_LIST_BYTES {
                return Err(ListError::TooLong);
            }
            let (endpoints, next) = read_page(&text)?;
            all.extend(endpoints);
            token = next;
            if token.as_ref().is_some_and(|token| token.len() > MAX_TOKEN_BYTES) {
                return Err(ListError::TooLong);
            }
            if token.is_none() {
                break;
            }
        }
        all.sort();
        // Of two lines of one instance the one that drains is the newer.
        all.reverse();
        all.dedup_by(|a, b| a.instance_id == b.instance_id);
        all.reverse();
        Ok(all)
    }

    async fn page(&mut self, token: Option<&str>) -> Result<Bytes, ListError> {
        let path = match token {
            Some(token) => format!("/instances?page_token={token}"),
            None => "/instances".to_owned(),
        };
        let head = || request(Method::GET, &path, self.address.into());
        let connection = self.connection.take();
        let exchanged =
            Connection::exchange(connection, self.address.into(), PAGE_TIMEOUT, head, Bytes::new()).await;
        let (returned, response) = exchanged.map_err(|e| ListError::NoAnswer(e.to_string()))?;
        let status = response.status();
        let closes = response.headers().get(hyper::header::CONNECTION).is_some_and(|value| value == "close");
        let body = read_body(response.into_body(), MAX_PAGE_BYTES).await;
        let body = body.map_err(|e| ListError::NoAnswer(e.to_string()))?;
        if !closes {
            self.connection = Some(returned);
        }
        match status {
            StatusCode::OK => Ok(body),
            status => Err(ListError::Status(status)),
        }
    }
}
