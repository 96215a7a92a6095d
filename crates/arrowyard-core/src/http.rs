//! A minimal HTTP/1.1 client for discovery: one GET request per connection; a body is chunked, has a length
//! or extends to the end of the stream.

use bytes::{Buf, BytesMut};

/// The parsed head (status line and header fields) of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    pub status: u16,
    pub body: Body,
}

/// The state of a body being read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Body {
    /// Remaining bytes of a body with a length.
    Length(usize),
    /// The body extends to the end of the stream.
    ToEnd,
    /// Remaining bytes of the current chunk.
    Chunk(usize),
    /// The line end after a chunk.
    ChunkEnd,
    /// The line with the size of the next chunk.
    ChunkSize,
    /// The lines after the last chunk.
    Trailer,
    Complete,
}

/// The text of a GET request.
pub fn get_request(path: &str, authority: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: {authority}\r\nAccept: application/json\r\n\r\n")
}

/// Removes a line from the received bytes and returns it without its end; an error if it exceeds
/// `max_bytes`.
pub fn take_line(received: &mut BytesMut, max_bytes: usize) -> Result<Option<BytesMut>, String> {
    match received.iter().position(|&byte| byte == b'\n') {
        Some(end) if end <= max_bytes => {
            let mut line = received.split_to(end + 1);
            let text_length = line.strip_suffix(b"\r\n").map_or(end, <[u8]>::len);
            line.truncate(text_length);
            Ok(Some(line))
        }
        None if received.len() <= max_bytes => Ok(None),
        _ => Err("http: a line is too long".to_string()),
    }
}

/// Removes the head of a response from the received bytes, once it is complete.
pub fn take_response_head(received: &mut BytesMut, max_bytes: usize) -> Result<Option<ResponseHead>, String> {
    let Some(end) = received.windows(4).position(|bytes| bytes == b"\r\n\r\n") else {
        return if received.len() <= max_bytes {
            Ok(None)
        } else {
            Err("http: the response head is too long".to_string())
        };
    };
    let head_bytes = received.split_to(end + 4);
    let text = std::str::from_utf8(&head_bytes[..end]).map_err(|_| "http: the response head is not UTF-8")?;
    let mut lines = text.split("\r\n");
    let status_line = lines.next().unwrap_or_default();
    let status = status_line.strip_prefix("HTTP/1.").and_then(|rest| rest.split(' ').nth(1));
    let status = status.and_then(|status| status.parse().ok()).ok_or("http: the response has no status")?;
    let mut body = Body::ToEnd;
    for (name, value) in lines.filter_map(|line| line.split_once(':')) {
        let value = value.trim();
        if name.eq_ignore_ascii_case("transfer-encoding") && value.eq_ignore_ascii_case("chunked") {
            body = Body::ChunkSize;
        } else if name.eq_ignore_ascii_case("content-length") && body == Body::ToEnd {
            body = Body::Length(value.parse().map_err(|_| "http: Content-Length is not a number")?);
        }
    }
    Ok(Some(ResponseHead { status, body }))
}

impl Body {
    /// Moves received bytes of the body into `data` until the body is complete or more bytes are needed.
    /// `max_bytes` is the maximum length of a line.
    pub fn take(
        &mut self,
        received: &mut BytesMut,
        data: &mut BytesMut,
        max_bytes: usize,
    ) -> Result<(), String> {
        loop {
            match *self {
                Body::Complete | Body::Length(0) => {
                    *self = Body::Complete;
                    return Ok(());
                }
                Body::ToEnd => {
                    data.unsplit(received.split());
                    return Ok(());
                }
                Body::Length(remaining) | Body::Chunk(remaining) => {
                    if received.is_empty() {
                        return Ok(());
                    }
                    let available = remaining.min(received.len());
                    data.extend_from_slice(&received[..available]);
                    received.advance(available);
                    *self = match *self {
                        Body::Length(_) => Body::Length(remaining - available),
                        _ if remaining == available => Body::ChunkEnd,
                        _ => Body::Chunk(remaining - available),
                    };
                }
                Body::ChunkEnd => match take_line(received, 1)? {
                    Some(_) => *self = Body::ChunkSize,
                    None => return Ok(()),
                },
                Body::ChunkSize => {
                    let Some(line) = take_line(received, max_bytes)? else { return Ok(()) };
                    let size_text = std::str::from_utf8(&line).unwrap_or_default();
                    let digits = size_text.split(';').next().unwrap_or_default().trim();
                    let size = usize::from_str_radix(digits, 16).map_err(|_| "http: invalid chunk size")?;
                    *self = if size == 0 { Body::Trailer } else { Body::Chunk(size) };
                }
                Body::Trailer => match take_line(received, max_bytes)? {
                    Some(line) if line.is_empty() => *self = Body::Complete,
                    Some(_) => {}
                    None => return Ok(()),
                },
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const CHUNKED: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;x=1\r\n{\"a\"\r\n4\r\n:1}\n\r\n1\r\n\n\r\n0\r\n\r\n";

    /// The lines of a response received in two pieces, and whether it is complete.
    fn read_lines(bytes: &[u8], split_at: usize) -> Result<(Vec<String>, bool), String> {
        let (mut received, mut data, mut body) = (BytesMut::new(), BytesMut::new(), None);
        let mut lines = Vec::new();
        for piece in [&bytes[..split_at], &bytes[split_at..]] {
            received.extend_from_slice(piece);
            if body.is_none() {
                body = take_response_head(&mut received, 100)?.map(|response_head| response_head.body);
            }
            if let Some(body) = &mut body {
                body.take(&mut received, &mut data, 100)?;
                while let Some(line) = take_line(&mut data, 100)? {
                    lines.push(String::from_utf8_lossy(&line).into_owned());
                }
            }
        }
        Ok((lines, body == Some(Body::Complete)))
    }

    #[test]
    fn a_chunked_response_is_read_however_it_is_split() {
        for split_at in 0..CHUNKED.len() {
            let expected = (vec![r#"{"a":1}"#.to_string(), String::new()], true);
            assert_eq!(read_lines(CHUNKED, split_at), Ok(expected), "split at {split_at}");
        }
    }

    #[test]
    fn invalid_responses_are_rejected() {
        let long_line = "x".repeat(101);
        let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let invalid = [
            format!("HTTP/1.1 200 OK\r\n{long_line}"),
            "HTTP/1.1 OK\r\n\r\n".to_string(),
            "SMTP 200\r\n\r\n".to_string(),
            "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n".to_string(),
            format!("{chunked}fffffffffffffffff\r\n"),
            format!("{chunked}g\r\n"),
            format!("{chunked}1\r\nabc\r\n"),
            format!("{chunked}{long_line}"),
        ];
        for text in invalid {
            assert!(read_lines(text.as_bytes(), 0).is_err(), "{text}");
        }
    }
}
