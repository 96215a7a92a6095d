//! A client of PostgreSQL's wire protocol that distinguishes all kinds of replies.

use std::io;
use std::net::SocketAddr;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::host::{encode_message, read_message};

/// A router's reply to an op.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The value of the result.
    Value(String),
    /// Rejected without having run, with the retry delay in milliseconds.
    Busy(Option<u64>),
    /// Failed, with the error's code and message.
    Error(String),
}

/// A connection to a router over PostgreSQL's protocol.
pub struct Client {
    stream: TcpStream,
}

/// An op to execute: the fields of its statement's comment, and whether it is a write.
#[derive(Clone, Debug)]
pub struct OpRequest<'a> {
    /// Op id.
    pub id: u64,
    pub op_type: &'a str,
    pub tenant: Option<&'a str>,
    /// Number of the group that the op addresses.
    pub group: i64,
    pub timeout_ms: u32,
    /// The write's idempotency token.
    pub token: Option<u64>,
    /// Whether the client marks the op as a retry.
    pub is_retry: bool,
    /// Session id, which the statement uses as the key of its rows.
    pub session: u64,
    pub is_write: bool,
}

impl OpRequest<'_> {
    /// The statement as the router expects it.
    pub fn statement(&self) -> String {
        let OpRequest { id, op_type, tenant, group, timeout_ms, token, is_retry, session, is_write } = self;
        let tenant_field = tenant.map_or(String::new(), |tenant| format!(",t={tenant}"));
        let token_field = token.map_or(String::new(), |token| format!(",k={token:016x}"));
        let retry_field = if *is_retry { ",r=1" } else { "" };
        let comment = format!(
            "/* id={id:016x},c={op_type}{tenant_field},d={timeout_ms}{token_field},cluster={group}{retry_field} */"
        );
        if *is_write {
            return format!(
                "{comment} INSERT INTO entries (ref, payload) VALUES ('{session:016x}', '\\x9f03') RETURNING payload"
            );
        }
        format!("{comment} SELECT payload FROM entries WHERE ref = '{session:016x}'")
    }
}

fn connection_closed() -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, "the router closed the connection")
}

impl Client {
    /// Connects and waits until the router is ready.
    ///
    /// # Errors
    /// The router cannot be reached or rejects the connection.
    pub async fn connect(router: SocketAddr) -> io::Result<Client> {
        let mut stream = TcpStream::connect(router).await?;
        stream.set_nodelay(true)?;
        let startup = b"\0\x03\0\0user\0web\0database\0orders\0\0";
        stream.write_all(&[&(startup.len() as u32 + 4).to_be_bytes()[..], startup].concat()).await?;
        loop {
            match read_message(&mut stream).await.ok_or_else(connection_closed)? {
                (b'Z', _) => return Ok(Client { stream }),
                (b'E', _) => return Err(io::Error::other("the router rejected the connection")),
                _ => {}
            }
        }
    }

    /// Sends the statement and returns its reply.
    ///
    /// # Errors
    /// The connection was closed without a reply, or there was more than one.
    pub async fn execute(&mut self, statement: &str) -> io::Result<Reply> {
        self.stream.write_all(&encode_message(b'Q', format!("{statement}\0").as_bytes())).await?;
        let mut reply = None;
        loop {
            let Some((type_byte, body)) = read_message(&mut self.stream).await else {
                // A fatal error closes the connection without ReadyForQuery.
                return reply.ok_or_else(connection_closed);
            };
            let received_reply = match type_byte {
                b'D' => Reply::Value(String::from_utf8_lossy(body.get(6..).unwrap_or_default()).into_owned()),
                b'E' => {
                    let text = String::from_utf8_lossy(&body).into_owned();
                    let field =
                        |field_type| text.split('\0').find_map(|field| field.strip_prefix(field_type));
                    match field('C') {
                        Some("53300" | "57P03") => {
                            Reply::Busy(field('D').and_then(|retry_after| retry_after.parse().ok()))
                        }
                        code => Reply::Error(format!(
                            "{} {}",
                            code.unwrap_or_default(),
                            field('M').unwrap_or_default()
                        )),
                    }
                }
                b'Z' => return reply.ok_or_else(|| io::Error::other("ReadyForQuery without a reply")),
                _ => continue,
            };
            if reply.replace(received_reply).is_some() {
                return Err(io::Error::other("two replies to one request"));
            }
        }
    }
}
