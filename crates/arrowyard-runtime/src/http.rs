//! As much of HTTP/1.1 as the calls of hosts, operators and the platform need. No I/O.

use bytes::{Buf, BytesMut};

/// The longest head, in bytes, and the longest body that any call may have.
const MAX_HEAD_BYTES: usize = 16 << 10;
pub const MAX_BODY_BYTES: usize = 16 << 20;
const MAX_HEADERS: usize = 32;

/// A call, whole.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the connection is to end with the answer.
    pub close_connection: bool,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }
}

/// An answer, whole.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

/// What a caller is told of a call that cannot be read: a status and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpError(pub u16, pub &'static str);

/// The bytes of one connection.
#[derive(Default)]
pub struct HttpDecoder {
    came: BytesMut,
}

impl HttpDecoder {
    pub fn put(&mut self, bytes: &[u8]) {
        self.came.extend_from_slice(bytes);
    }

    /// Takes the next call, once it is whole.
    ///
    /// # Errors
    /// When it is none, or too long; the connection cannot be used any more.
    pub fn next_request(&mut self) -> Result<Option<Request>, HttpError> {
        let mut room = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Request::new(&mut room);
        let length = match head.parse(&self.came) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) if self.came.len() <= MAX_HEAD_BYTES => return Ok(None),
            Ok(httparse::Status::Partial) => return Err(HttpError(431, "The head is too long.")),
            Err(_) => return Err(HttpError(400, "This is not HTTP/1.1.")),
        };
        let mut request = Request {
            method: head.method.unwrap_or_default().to_string(),
            path: head.path.unwrap_or_default().to_string(),
            headers: Vec::with_capacity(head.headers.len()),
            close_connection: head.version == Some(0),
            ..Request::default()
        };
        for header in head.headers.iter() {
            let value = String::from_utf8_lossy(header.value).trim().to_string();
            request.headers.push((header.name.to_string(), value));
        }
        if request.header("transfer-encoding").is_some() {
            return Err(HttpError(501, "Only bodies with a length are read."));
        }
        let body = match request.header("content-length").map(str::parse::<usize>) {
            None => 0,
            Some(Ok(body)) if body <= MAX_BODY_BYTES => body,
            Some(Ok(_)) => return Err(HttpError(413, "The body is too long.")),
            Some(Err(_)) => return Err(HttpError(400, "The length of the body is no number.")),
        };
        request.close_connection |=
            request.header("connection").is_some_and(|word| word.eq_ignore_ascii_case("close"));
        if self.came.len() < length + body {
            return Ok(None);
        }
        self.came.advance(length);
        request.body = self.came.split_to(body).to_vec();
        if self.came.is_empty() {
            self.came = BytesMut::new();
        }
        Ok(Some(request))
    }

    /// Takes the next answer, once it is whole.
    ///
    /// # Errors
    /// When it is none, or too long.
    pub fn next_response(&mut self) -> Result<Option<Response>, HttpError> {
        let mut room = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Response::new(&mut room);
        let length = match head.parse(&self.came) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) if self.came.len() <= MAX_HEAD_BYTES => return Ok(None),
            _ => return Err(HttpError(502, "This is not HTTP/1.1.")),
        };
        let named = head.headers.iter().find(|header| header.name.eq_ignore_ascii_case("content-length"));
        let body =
            named.map_or(Some(0), |header| std::str::from_utf8(header.value).ok()?.trim().parse().ok());
        let body: usize =
            body.filter(|&body| body <= MAX_BODY_BYTES).ok_or(HttpError(502, "The body has no length."))?;
        let status = head.code.unwrap_or_default();
        if self.came.len() < length + body {
            return Ok(None);
        }
        self.came.advance(length);
        Ok(Some(Response { status, body: self.came.split_to(body).to_vec() }))
    }
}

/// The words of the statuses that are used.
fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        307 => "Temporary Redirect",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        412 => "Precondition Failed",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        _ => "Service Unavailable",
    }
}

/// An answer with a body of JSON, or with none.
pub fn format_response(status: u16, body: &str) -> String {
    let kind = if body.is_empty() { "" } else { "Content-Type: application/json\r\n" };
    format!("HTTP/1.1 {status} {}\r\n{kind}Content-Length: {}\r\n\r\n{body}", reason(status), body.len())
}

/// A call with a body of JSON.
pub fn format_request(method: &str, path: &str, to: &str, headers: &[(&str, &str)], body: &str) -> String {
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: {to}\r\n");
    headers.iter().for_each(|(name, value)| text.push_str(&format!("{name}: {value}\r\n")));
    if !body.is_empty() || method == "POST" {
        text.push_str(&format!("Content-Type: application/json\r\nContent-Length: {}\r\n", body.len()));
    }
    text + "\r\n" + body
}
