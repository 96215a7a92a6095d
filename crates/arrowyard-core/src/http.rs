//! As much of HTTP/1.1 as discovery needs: one GET a connection, an answer whole, chunked or to the end.

use bytes::{Buf, BytesMut};

/// The head of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    pub status: u16,
    pub body: Body,
}

/// What is still to come of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Body {
    Length(usize),
    ToEnd,
    /// Bytes left of the chunk under way.
    Chunk(usize),
    /// The line end after a chunk.
    ChunkEnd,
    ChunkSize,
    Trailer,
    Over,
}

pub fn get(path: &str, authority: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nHost: {authority}\r\nAccept: application/json\r\n\r\n")
}

/// Takes a line off what came, without its end. Danger: a line without end; more bytes than `most` are an error.
pub fn line(came: &mut BytesMut, most: usize) -> Result<Option<BytesMut>, String> {
    match came.iter().position(|&byte| byte == b'\n') {
        Some(end) if end <= most => {
            let mut line = came.split_to(end + 1);
            let ended = line.strip_suffix(b"\r\n").map_or(end, <[u8]>::len);
            line.truncate(ended);
            Ok(Some(line))
        }
        None if came.len() <= most => Ok(None),
        _ => Err("http: a line is too long".to_string()),
    }
}

/// Takes the head of an answer off what came, once it is whole.
pub fn head(came: &mut BytesMut, most: usize) -> Result<Option<Head>, String> {
    let Some(end) = came.windows(4).position(|four| four == b"\r\n\r\n") else {
        return if came.len() <= most { Ok(None) } else { Err("http: a head is too long".to_string()) };
    };
    let head = came.split_to(end + 4);
    let text = std::str::from_utf8(&head[..end]).map_err(|_| "http: a head is not text")?;
    let mut lines = text.split("\r\n");
    let first = lines.next().unwrap_or_default();
    let status = first.strip_prefix("HTTP/1.").and_then(|rest| rest.split(' ').nth(1));
    let status = status.and_then(|status| status.parse().ok()).ok_or("http: no status")?;
    let mut body = Body::ToEnd;
    for (name, value) in lines.filter_map(|line| line.split_once(':')) {
        let value = value.trim();
        if name.eq_ignore_ascii_case("transfer-encoding") && value.eq_ignore_ascii_case("chunked") {
            body = Body::ChunkSize;
        } else if name.eq_ignore_ascii_case("content-length") && body == Body::ToEnd {
            body = Body::Length(value.parse().map_err(|_| "http: a length is no number")?);
        }
    }
    Ok(Some(Head { status, body }))
}

impl Body {
    /// Moves what came of the body into `data`; where more must come first, it returns. `most` bounds lines.
    pub fn take(&mut self, came: &mut BytesMut, data: &mut BytesMut, most: usize) -> Result<(), String> {
        loop {
            match *self {
                Body::Over | Body::Length(0) => {
                    *self = Body::Over;
                    return Ok(());
                }
                Body::ToEnd => {
                    data.unsplit(came.split());
                    return Ok(());
                }
                Body::Length(left) | Body::Chunk(left) => {
                    if came.is_empty() {
                        return Ok(());
                    }
                    let part = left.min(came.len());
                    data.extend_from_slice(&came[..part]);
                    came.advance(part);
                    *self = match *self {
                        Body::Length(_) => Body::Length(left - part),
                        _ if left == part => Body::ChunkEnd,
                        _ => Body::Chunk(left - part),
                    };
                }
                Body::ChunkEnd => match line(came, 1)? {
                    Some(_) => *self = Body::ChunkSize,
                    None => return Ok(()),
                },
                Body::ChunkSize => {
                    let Some(line) = line(came, most)? else { return Ok(()) };
                    let digits = std::str::from_utf8(&line).unwrap_or_default();
                    let digits = digits.split(';').next().unwrap_or_default().trim();
                    let size = usize::from_str_radix(digits, 16).map_err(|_| "http: no size of a chunk")?;
                    *self = if size == 0 { Body::Trailer } else { Body::Chunk(size) };
                }
                Body::Trailer => match line(came, most)? {
                    Some(line) if line.is_empty() => *self = Body::Over,
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

    /// The lines of an answer that comes in two pieces, and whether it is over.
    fn lines(bytes: &[u8], cut: usize) -> Result<(Vec<String>, bool), String> {
        let (mut came, mut data, mut body) = (BytesMut::new(), BytesMut::new(), None);
        let mut lines = Vec::new();
        for piece in [&bytes[..cut], &bytes[cut..]] {
            came.extend_from_slice(piece);
            if body.is_none() {
                body = head(&mut came, 100)?.map(|head| head.body);
            }
            if let Some(body) = &mut body {
                body.take(&mut came, &mut data, 100)?;
                while let Some(line) = line(&mut data, 100)? {
                    lines.push(String::from_utf8_lossy(&line).into_owned());
                }
            }
        }
        Ok((lines, body == Some(Body::Over)))
    }

    #[test]
    fn a_chunked_answer_is_read_wherever_it_is_cut() {
        for cut in 0..CHUNKED.len() {
            let wanted = (vec![r#"{"a":1}"#.to_string(), String::new()], true);
            assert_eq!(lines(CHUNKED, cut), Ok(wanted), "cut at {cut}");
        }
    }

    #[test]
    fn hostile_answers_are_refused() {
        let long = "x".repeat(101);
        let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let hostile = [
            format!("HTTP/1.1 200 OK\r\n{long}"),
            "HTTP/1.1 OK\r\n\r\n".to_string(),
            "SMTP 200\r\n\r\n".to_string(),
            "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n".to_string(),
            format!("{chunked}fffffffffffffffff\r\n"),
            format!("{chunked}g\r\n"),
            format!("{chunked}1\r\nabc\r\n"),
            format!("{chunked}{long}"),
        ];
        for text in hostile {
            assert!(lines(text.as_bytes(), 0).is_err(), "{text}");
        }
    }
}
