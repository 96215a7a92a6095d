//! Two plain ways, to be compared with. Both know all members from the start, which ours does not.

use std::collections::HashMap;
use std::net::SocketAddr;

use arrowyard_types::{TimeDelta, Timestamp};
use fastrand::Rng;
use prost::Message;

use super::{Node, Said, Taken, address, number};

const PERIOD: TimeDelta = TimeDelta::from_millis(500);

/// Each tells all, each period, that it lives; whoever is not heard for four periods is dead.
pub struct Heartbeats {
    me: usize,
    heard: Vec<Timestamp>,
    dead: Vec<bool>,
    next: Timestamp,
    ended: bool,
    out: Taken,
}

const LIMIT: TimeDelta = TimeDelta::from_millis(2000);
/// What a heartbeat says: who speaks, its start, a number.
const BEAT: [u8; 24] = [7; 24];

impl Heartbeats {
    #[must_use]
    pub fn new(now: Timestamp, me: usize, count: usize, seed: u64) -> Heartbeats {
        let next = now + PERIOD * Rng::with_seed(seed).f64();
        let (heard, dead) = (vec![now; count], vec![false; count]);
        Heartbeats { me, heard, dead, next, ended: false, out: Taken::default() }
    }
}

impl Node for Heartbeats {
    fn next_at(&self) -> Timestamp {
        self.next
    }

    fn tick(&mut self, now: Timestamp) {
        if now < self.next {
            return;
        }
        self.next = now + PERIOD;
        for who in (0..self.heard.len()).filter(|&who| who != self.me && !self.ended) {
            self.out.sends.push((address(who), BEAT.to_vec()));
        }
        for who in (0..self.heard.len()).filter(|&who| who != self.me) {
            if now - self.heard[who] > LIMIT && !self.dead[who] {
                self.dead[who] = true;
                self.out.said.push((who, None, Said::Dead));
            }
        }
    }

    fn heard(&mut self, now: Timestamp, from: SocketAddr, _bytes: &[u8]) {
        let who = number(from);
        if who < self.heard.len() {
            self.heard[who] = now;
            if std::mem::take(&mut self.dead[who]) {
                self.out.said.push((who, None, Said::Alive));
            }
        }
    }

    fn refused(&mut self, _now: Timestamp, _at: SocketAddr) {}

    fn leave(&mut self, _now: Timestamp) {
        self.ended = true;
    }

    fn take(&mut self) -> Taken {
        std::mem::take(&mut self.out)
    }

    fn alive(&self) -> usize {
        self.dead.iter().filter(|dead| !**dead).count() - 1
    }
}

/// SWIM as published, with suspicion: one random member a period, three helpers, news on all datagrams; a suspect has
/// three periods times the logarithm of the members to speak for itself.
pub struct Swim {
    me: usize,
    life: u64,
    /// By member: its life, and 0 alive, 1 suspect, 2 dead.
    held: Vec<(u64, u8, Timestamp)>,
    turn: Vec<usize>,
    news: Vec<(usize, u32)>,
    asks: Vec<(u64, usize, Timestamp, u8)>,
    relays: HashMap<u64, (SocketAddr, u64)>,
    next: Timestamp,
    seq: u64,
    rng: Rng,
    ended: bool,
    out: Taken,
}

#[derive(Clone, PartialEq, prost::Message)]
struct Word {
    #[prost(uint32, tag = "1")]
    who: u32,
    #[prost(uint64, tag = "2")]
    life: u64,
    #[prost(uint32, tag = "3")]
    state: u32,
}

#[derive(Clone, PartialEq, prost::Message)]
struct Packet {
    /// 1 ping, 2 ack, 3 ping for another.
    #[prost(uint32, tag = "1")]
    kind: u32,
    #[prost(fixed64, tag = "2")]
    seq: u64,
    #[prost(uint32, tag = "3")]
    about: u32,
    #[prost(message, repeated, tag = "4")]
    words: Vec<Word>,
}

const WAIT: TimeDelta = TimeDelta::from_millis(150);

impl Swim {
    #[must_use]
    pub fn new(now: Timestamp, me: usize, count: usize, seed: u64) -> Swim {
        let mut rng = Rng::with_seed(seed);
        let life = (now.micros() / 1000) as u64;
        let (turn, news, asks, relays) = Default::default();
        let next = now + PERIOD * rng.f64();
        let held = vec![(0, 0, now); count];
        let mut swim = Swim {
            me,
            life,
            held,
            turn,
            news,
            asks,
            relays,
            next,
            seq: 1,
            rng,
            ended: false,
            out: Taken::default(),
        };
        swim.held[me] = (life, 0, now);
        swim.news.push((me, swim.times()));
        swim
    }

    fn times(&self) -> u32 {
        (3.0 * ((self.held.len() + 1) as f64).log2()).ceil() as u32
    }

    fn send(&mut self, to: SocketAddr, kind: u32, seq: u64, about: u32) {
        let mut words = Vec::new();
        self.news.sort_by_key(|(_, left)| std::cmp::Reverse(*left));
        for (who, left) in self.news.iter_mut().take(8) {
            let (life, state, _) = self.held[*who];
            words.push(Word { who: *who as u32, life, state: state.into() });
            *left -= 1;
        }
        self.news.retain(|(_, left)| *left > 0);
        self.out.sends.push((to, Packet { kind, seq, about, words }.encode_to_vec()));
    }

    fn set(&mut self, now: Timestamp, who: usize, life: u64, state: u8) {
        let was = self.held[who].1;
        self.held[who] = (life, state, now);
        self.news.retain(|(of, _)| *of != who);
        let times = self.times();
        self.news.push((who, times));
        if was != state && who != self.me {
            self.out.said.push((who, None, [Said::Alive, Said::Silent, Said::Dead][usize::from(state)]));
        }
    }

    fn others(&mut self, count: usize, but: usize) -> Vec<usize> {
        let mut fit: Vec<usize> = (0..self.held.len())
            .filter(|&one| one != self.me && one != but && self.held[one].1 < 2)
            .collect();
        self.rng.shuffle(&mut fit);
        fit.truncate(count);
        fit
    }
}

impl Node for Swim {
    fn next_at(&self) -> Timestamp {
        self.asks.iter().map(|ask| ask.2).fold(self.next, Timestamp::min)
    }

    fn tick(&mut self, now: Timestamp) {
        let due: Vec<_> = self.asks.iter().filter(|ask| ask.2 <= now).copied().collect();
        self.asks.retain(|ask| ask.2 > now);
        for (seq, who, _, step) in due {
            if step == 0 {
                for helper in self.others(3, who) {
                    self.send(address(helper), 3, seq, who as u32);
                }
                self.asks.push((seq, who, now + WAIT * 2.0, 1));
            } else if self.held[who].1 == 0 {
                self.set(now, who, self.held[who].0, 1);
            }
        }
        if now < self.next || self.ended {
            return;
        }
        self.next = now + PERIOD;
        let wait = PERIOD * (3.0 * ((self.held.len() + 1) as f64).log10().max(1.0));
        for who in 0..self.held.len() {
            let (life, state, since) = self.held[who];
            if state == 1 && now - since >= wait {
                self.set(now, who, life, 2);
            }
        }
        if self.turn.is_empty() {
            self.turn = self.others(self.held.len(), self.me);
        }
        if let Some(who) = self.turn.pop().filter(|&who| self.held[who].1 < 2) {
            self.seq += 1;
            let seq = (self.me as u64) << 32 | self.seq;
            self.asks.push((seq, who, now + WAIT, 0));
            self.send(address(who), 1, seq, 0);
        }
    }

    fn heard(&mut self, now: Timestamp, from: SocketAddr, bytes: &[u8]) {
        let Ok(packet) = Packet::decode(bytes) else { return };
        for word in packet.words {
            let (who, life, state) = (word.who as usize, word.life, word.state.min(2) as u8);
            if who >= self.held.len() {
                continue;
            }
            if who == self.me {
                if state > 0 && life >= self.life {
                    self.life = life + 1;
                    self.set(now, who, self.life, 0);
                }
                continue;
            }
            let (held, stands, _) = self.held[who];
            if (life, state) > (held, stands) && !(stands == 2 && life <= held) {
                self.set(now, who, life, state);
            }
        }
        match packet.kind {
            1 => {
                self.send(from, 2, packet.seq, 0);
            }
            2 => {
                self.asks.retain(|ask| ask.0 != packet.seq);
                if let Some((of, seq)) = self.relays.remove(&packet.seq) {
                    self.send(of, 2, seq, 0);
                }
            }
            _ => {
                self.seq += 1;
                let seq = (self.me as u64) << 32 | self.seq;
                if self.relays.len() < 256 {
                    self.relays.insert(seq, (from, packet.seq));
                }
                self.send(address(packet.about as usize), 1, seq, 0);
            }
        }
    }

    fn refused(&mut self, _now: Timestamp, _at: SocketAddr) {}

    fn leave(&mut self, now: Timestamp) {
        self.set(now, self.me, self.life, 2);
        for to in self.others(3, self.me) {
            self.send(address(to), 1, 0, 0);
        }
        self.ended = true;
    }

    fn take(&mut self) -> Taken {
        std::mem::take(&mut self.out)
    }

    fn alive(&self) -> usize {
        (0..self.held.len()).filter(|&one| one != self.me && self.held[one].1 == 0).count()
    }
}
