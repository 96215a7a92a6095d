//! One send of an op over one connection to a host, from the dial to its end.

use std::net::SocketAddr;
use std::rc::Rc;

use arrowyard_pg::Statement;
use arrowyard_types::{HostId, Outcome, Point, Span, Word};
use bytes::BytesMut;
use tokio::sync::oneshot::{self, error::TryRecvError};
use tokio::time::sleep_until;

use crate::clock::Clock;
use crate::link::Parcel;
use crate::pool::Pool;

pub struct Order {
    pub host: HostId,
    pub dial: SocketAddr,
    pub statement: Rc<Statement>,
    pub until: Point,
    /// Resolves when the send is called off.
    pub called_off: oneshot::Receiver<()>,
}

/// How a send ended.
#[derive(Debug)]
pub struct End {
    pub outcome: Outcome,
    pub took: Span,
    pub word: Word,
    pub answer: Option<Parcel>,
}

impl End {
    /// Of a send that was never tried: its op is over, its time has run out, or its host is nowhere.
    pub fn unsent() -> Self {
        End { outcome: Outcome::Moot, took: Span::ZERO, word: Word::default(), answer: None }
    }
}

/// Carries the order out. Until the statement is wholly written it never ran, whatever happens; from then on it
/// may have. Giving up closes the connection.
pub async fn run(mut order: Order, pool: &Pool, clock: Clock) -> End {
    let (started, mut written) = (clock.now(), false);
    if started >= order.until || order.called_off.try_recv() != Err(TryRecvError::Empty) {
        return End::unsent();
    }
    let Order { host, dial, statement, until, called_off } = order;
    let (outcome, word, answer) = tokio::select! {
        biased;
        told = exchange(host, dial, &statement, until, pool, clock, &mut written) => told,
        _ = called_off => (Outcome::Cancelled, Word::default(), None),
        () = sleep_until(clock.when(until)) => (Outcome::TimedOut, Word::default(), None),
    };
    let outcome = match outcome {
        Outcome::Cancelled if !written => Outcome::Moot,
        Outcome::TimedOut if !written => Outcome::ConnectFailed,
        outcome => outcome,
    };
    if outcome == Outcome::TimedOut {
        pool.unanswered(host, clock.when(started));
    }
    End { outcome, took: clock.now() - started, word, answer }
}

async fn exchange(
    host: HostId,
    dial: SocketAddr,
    statement: &Statement,
    until: Point,
    pool: &Pool,
    clock: Clock,
    written: &mut bool,
) -> (Outcome, Word, Option<Parcel>) {
    let mut link = match pool.take(host, dial).await {
        Ok(link) => link,
        Err(outcome) => return (outcome, Word::default(), None),
    };
    let mut out = BytesMut::new();
    // Whole milliseconds, and the host must not give up before the router does.
    let wait = (until - clock.now()).micros().max(0) as u64;
    statement.put(&mut out, wait.div_ceil(1000));
    if let Err(broken) = link.write(&out).await {
        log::debug!("{dial}: not written: {}", broken.0);
        return (Outcome::ConnectFailed, Word::default(), None);
    }
    *written = true;
    match link.answer().await {
        Ok(told) => {
            if told.ready {
                pool.put_back(host, link);
            }
            let outcome = told.outcome();
            (outcome, told.word, told.answer.filter(|_| outcome == Outcome::Acked))
        }
        Err(broken) => {
            log::debug!("{dial}: broken: {}", broken.0);
            (Outcome::Reset, Word::default(), None)
        }
    }
}
