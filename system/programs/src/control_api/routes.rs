//! The route table: which call a method and a path name.

use super::application::ApplicationCall;
use super::operator::OperatorCall;
use hyper::{Method, StatusCode};

/// A call of the API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ApiCall {
    /// Of the operator.
    Operator(OperatorCall),
    /// Of an application.
    Application(ApplicationCall),
}

/// Method, path and call. Where the path ends with a slash, a name follows it.
const ROUTES: [(Method, &str, ApiCall); 11] = [
    (Method::PUT, "/sedgewood/config", ApiCall::Operator(OperatorCall::PutConfig)),
    (Method::GET, "/sedgewood/config", ApiCall::Operator(OperatorCall::ReadConfig)),
    (Method::POST, "/sedgewood/retire/", ApiCall::Operator(OperatorCall::Retire)),
    (Method::GET, "/sedgewood/retire/", ApiCall::Operator(OperatorCall::ReadRetire)),
    (Method::POST, "/sedgewood/locks/", ApiCall::Application(ApplicationCall::AcquireLock)),
    (Method::PUT, "/sedgewood/locks/", ApiCall::Application(ApplicationCall::RenewLock)),
    (Method::DELETE, "/sedgewood/locks/", ApiCall::Application(ApplicationCall::ReleaseLock)),
    (Method::POST, "/sedgewood/numbers/", ApiCall::Application(ApplicationCall::NextNumber)),
    (Method::PUT, "/sedgewood/cells/", ApiCall::Application(ApplicationCall::PutKey)),
    (Method::GET, "/sedgewood/cells/", ApiCall::Application(ApplicationCall::ReadKey)),
    (Method::GET, "/sedgewood/watch/", ApiCall::Application(ApplicationCall::Watch)),
];

/// The call and the name at the end of the path, as it was sent.
///
/// # Errors
///
/// 404 if no call has this path, 405 if one has it with another method.
pub(super) fn route<'path>(method: &Method, path: &'path str) -> Result<(ApiCall, &'path str), StatusCode> {
    let matches_path = |pattern: &str| match pattern.ends_with('/') {
        true => path.strip_prefix(pattern).filter(|name| !name.is_empty() && !name.contains('/')),
        false => (path == pattern).then_some(""),
    };
    let mut path_exists = false;
    for (route_method, pattern, call) in &ROUTES {
        if let Some(name) = matches_path(pattern) {
            if route_method == method {
                return Ok((*call, name));
            }
            path_exists = true;
        }
    }
    Err(if path_exists { StatusCode::METHOD_NOT_ALLOWED } else { StatusCode::NOT_FOUND })
}
