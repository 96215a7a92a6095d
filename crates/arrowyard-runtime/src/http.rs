//! The subset of HTTP/1.1 that is used between hosts, operators, the platform and the control plane. No I/O.

use bytes::{Buf, BytesMut};

/// Maximum size of the request line or status line with all headers.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Maximum size of a body.
pub const MAX_BODY_BYTES: usize = 16 << 20;
const MAX_HEADERS: usize = 32;

/// A complete request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the connection closes after the response: HTTP/1.0 or `Connection: close`.
    pub close_connection: bool,
}

impl Request {
    /// The first header of this name, compared without case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }
}

/// A complete response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

/// A message that cannot be decoded: the status to respond with and the error text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpError(pub u16, pub &'static str);

/// Decodes the requests or responses of one connection.
#[derive(Default)]
pub struct HttpDecoder {
    buffer: BytesMut,
}

impl HttpDecoder {
    /// Appends received bytes.
    pub fn put(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes the next request; `None` until it is complete.
    ///
    /// # Errors
    /// When it is malformed or too long. The connection cannot be used afterwards.
    pub fn next_request(&mut self) -> Result<Option<Request>, HttpError> {
        let mut headers_buffer = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Request::new(&mut headers_buffer);
        let head_bytes = match head.parse(&self.buffer) {
            Ok(httparse::Status::Complete(head_bytes)) => head_bytes,
            Ok(httparse::Status::Partial) if self.buffer.len() <= MAX_HEAD_BYTES => return Ok(None),
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
            request.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
        if self.buffer.len() < head_bytes + body {
            return Ok(None);
        }
        self.buffer.advance(head_bytes);
        request.body = self.buffer.split_to(body).to_vec();
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
        Ok(Some(request))
    }

    /// Removes the next response; `None` until it is complete.
    ///
    /// # Errors
    /// When it is malformed or too long. The connection cannot be used afterwards.
    pub fn next_response(&mut self) -> Result<Option<Response>, HttpError> {
        let mut headers_buffer = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Response::new(&mut headers_buffer);
        let head_bytes = match head.parse(&self.buffer) {
            Ok(httparse::Status::Complete(head_bytes)) => head_bytes,
            Ok(httparse::Status::Partial) if self.buffer.len() <= MAX_HEAD_BYTES => return Ok(None),
            _ => return Err(HttpError(502, "This is not HTTP/1.1.")),
        };
        let content_length =
            head.headers.iter().find(|header| header.name.eq_ignore_ascii_case("content-length"));
        let body = content_length
            .map_or(Some(0), |header| std::str::from_utf8(header.value).ok()?.trim().parse().ok());
        let body: usize =
            body.filter(|&body| body <= MAX_BODY_BYTES).ok_or(HttpError(502, "The body has no length."))?;
        let status = head.code.unwrap_or_default();
        if self.buffer.len() < head_bytes + body {
            return Ok(None);
        }
        self.buffer.advance(head_bytes);
        Ok(Some(Response { status, body: self.buffer.split_to(body).to_vec() }))
    }
}

/// The reason phrase of a status.
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

/// Formats a response with a JSON body, or without a body if `body` is empty.
pub fn format_response(status: u16, body: &str) -> String {
    let content_type = if body.is_empty() { "" } else { "Content-Type: application/json\r\n" };
    format!(
        "HTTP/1.1 {status} {}\r\n{content_type}Content-Length: {}\r\n\r\n{body}",
        reason(status),
        body.len()
    )
}

/// Formats a request with a JSON body. A body is omitted if empty, except for `POST`.
pub fn format_request(method: &str, path: &str, host: &str, headers: &[(&str, &str)], body: &str) -> String {
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n");
    headers.iter().for_each(|(name, value)| text.push_str(&format!("{name}: {value}\r\n")));
    if !body.is_empty() || method == "POST" {
        text.push_str(&format!("Content-Type: application/json\r\nContent-Length: {}\r\n", body.len()));
    }
    text + "\r\n" + body
}
