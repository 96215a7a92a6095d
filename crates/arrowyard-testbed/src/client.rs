//! A client on PostgreSQL's protocol that tells every kind of answer apart.

use std::io;
use std::net::SocketAddr;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::host::{message, read_message};

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    Value(String),
    /// Busy, and when to come back, in milliseconds.
    Busy(Option<u64>),
    Error(String),
}

pub struct Client {
    stream: TcpStream,
}

/// What is asked: the comment's names, and whether it writes.
#[derive(Clone, Debug)]
pub struct Ask<'a> {
    pub id: u64,
    pub op_type: &'a str,
    pub tenant: Option<&'a str>,
    pub group: i64,
    pub wait_ms: u32,
    pub token: Option<u64>,
    pub again: bool,
    pub session: u64,
    pub writes: bool,
}

impl Ask<'_> {
    pub fn statement(&self) -> String {
        let Ask { id, op_type, tenant, group, wait_ms, token, again, session, writes } = self;
        let tenant = tenant.map_or(String::new(), |tenant| format!(",t={tenant}"));
        let token = token.map_or(String::new(), |token| format!(",k={token:016x}"));
        let again = if *again { ",r=1" } else { "" };
        let head =
            format!("/* id={id:016x},c={op_type}{tenant},d={wait_ms}{token},cluster={group}{again} */");
        if *writes {
            return format!(
                "{head} INSERT INTO entries (ref, payload) VALUES ('{session:016x}', '\\x9f03') RETURNING payload"
            );
        }
        format!("{head} SELECT payload FROM entries WHERE ref = '{session:016x}'")
    }
}

fn gone() -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, "the router ended the connection")
}

impl Client {
    pub async fn connect(router: SocketAddr) -> io::Result<Client> {
        let mut stream = TcpStream::connect(router).await?;
        stream.set_nodelay(true)?;
        let startup = b"\0\x03\0\0user\0web\0database\0orders\0\0";
        stream.write_all(&[&(startup.len() as u32 + 4).to_be_bytes()[..], startup].concat()).await?;
        loop {
            match read_message(&mut stream).await.ok_or_else(gone)? {
                (b'Z', _) => return Ok(Client { stream }),
                (b'E', _) => return Err(io::Error::other("turned away")),
                _ => {}
            }
        }
    }

    /// Asks, and reads the one final answer.
    pub async fn ask(&mut self, statement: &str) -> io::Result<Reply> {
        self.stream.write_all(&message(b'Q', format!("{statement}\0").as_bytes())).await?;
        let mut reply = None;
        loop {
            let Some((letter, body)) = read_message(&mut self.stream).await else {
                // After a fatal error the connection ends without word that the router is ready.
                return reply.ok_or_else(gone);
            };
            let told = match letter {
                b'D' => Reply::Value(String::from_utf8_lossy(body.get(6..).unwrap_or_default()).into_owned()),
                b'E' => {
                    let text = String::from_utf8_lossy(&body).into_owned();
                    let field = |letter| text.split('\0').find_map(|field| field.strip_prefix(letter));
                    match field('C') {
                        Some("53300" | "57P03") => {
                            Reply::Busy(field('D').and_then(|after| after.parse().ok()))
                        }
                        code => Reply::Error(format!(
                            "{} {}",
                            code.unwrap_or_default(),
                            field('M').unwrap_or_default()
                        )),
                    }
                }
                b'Z' => return reply.ok_or_else(|| io::Error::other("ready without an answer")),
                _ => continue,
            };
            // Danger to be seen here: two answers to one op.
            if reply.replace(told).is_some() {
                return Err(io::Error::other("two answers to one op"));
            }
        }
    }
}
