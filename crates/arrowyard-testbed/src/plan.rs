//! Fault plans: what breaks between and in a fleet's processes, and when. A plan is data with a seed, written as JSON, so
//! that one that found something can be played again from a file, by real processes or by the model.

use serde::{Deserialize, Serialize};

/// Some of the fleet's processes, by their numbers.
pub type Some = Vec<usize>;

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Halted, and let go when the fault ends.
    Halt(Some),
    /// Killed at once; started anew when the fault ends.
    Kill(Some),
    /// Killed at once; started anew without their votes when the fault ends.
    LoseVotes(Some),
    /// Killed at once; started anew with the votes that they had when the plan began.
    OlderVotes(Some),
    /// Ended as planned; started anew when the fault ends.
    End(Some),
    /// Ended as planned, with no datagram of it getting out; started anew when the fault ends.
    EndUnheard(Some),
    /// What the first send to the second is lost.
    Cut(Some, Some),
    /// The same both ways.
    Part(Some, Some),
    /// This share of all datagrams is lost, doubled, or has a byte changed.
    Lose(f64),
    Double(f64),
    Garble(f64),
    /// All datagrams take so much longer, and up to as much again, drawn, so that they overtake each other.
    Delay {
        ms: u64,
    },
}

/// A fault and its time, in milliseconds from the begin.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Act {
    pub at_ms: u64,
    pub for_ms: u64,
    pub fault: Fault,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    pub name: String,
    pub seed: u64,
    pub processes: usize,
    pub span_ms: u64,
    pub acts: Vec<Act>,
}

impl Plan {
    #[must_use]
    pub fn new(name: &str, processes: usize, span_ms: u64) -> Plan {
        Plan { name: name.to_string(), seed: 1, processes, span_ms, acts: Vec::new() }
    }

    #[must_use]
    pub fn act(mut self, at_ms: u64, for_ms: u64, fault: Fault) -> Plan {
        self.acts.push(Act { at_ms, for_ms, fault });
        self
    }

    #[must_use]
    pub fn text(&self) -> String {
        serde_json::to_string(self).expect("a plan is plain data")
    }

    /// # Errors
    /// It is no plan.
    pub fn read(text: &str) -> Result<Plan, String> {
        serde_json::from_str(text).map_err(|error| error.to_string())
    }

    /// When something begins or ends, in order: the time, which act, and whether it begins.
    #[must_use]
    pub fn steps(&self) -> Vec<(u64, usize, bool)> {
        let begins = self.acts.iter().enumerate().map(|(at, act)| (act.at_ms, at, true));
        let ends = self.acts.iter().enumerate().map(|(at, act)| (act.at_ms + act.for_ms, at, false));
        let mut steps: Vec<_> = begins.chain(ends).collect();
        steps.sort_by_key(|&(at_ms, act, begins)| (at_ms, !begins, act));
        steps
    }

    /// A plan by its name, for so many processes: the hard cases of membership.
    #[must_use]
    pub fn named(name: &str, processes: usize) -> Option<Plan> {
        let n = processes;
        let all: Some = (0..n).collect();
        let but = |one: usize| -> Some { (0..n).filter(|&other| other != one).collect() };
        let (half, rest): (Some, Some) = ((0..n / 2).collect(), (n / 2..n).collect());
        let third: Some = (0..n / 3).map(|at| at * 3 + 1).collect();
        let most: Some = (0..n * 7 / 10).collect();
        let plan = |span_ms| Plan::new(name, processes, span_ms);
        // Everybody knows everybody by then.
        let at = 8_000;
        Some(match name {
            "calm" => plan(60_000),
            "crash" => plan(30_000).act(at, 12_000, Fault::Kill(vec![1])),
            "halt-0.5" => plan(20_000).act(at, 500, Fault::Halt(vec![1])),
            "halt-3" => plan(20_000).act(at, 3_000, Fault::Halt(vec![1])),
            "halt-30" => plan(60_000).act(at, 30_000, Fault::Halt(vec![1])),
            "halt-third" => plan(20_000).act(at, 3_000, Fault::Halt(third)),
            "loss-30" => plan(40_000).act(at, 30_000, Fault::Lose(0.3)),
            "loss-10" => plan(620_000).act(at, 600_000, Fault::Lose(0.1)),
            "one-side" => plan(40_000).act(at, 25_000, Fault::Cut(vec![0], vec![1])),
            "one-to-all" => plan(40_000).act(at, 20_000, Fault::Cut(vec![1], but(1))),
            "all-to-one" => plan(40_000).act(at, 20_000, Fault::Cut(but(1), vec![1])),
            "ring" => (0..n).fold(plan(40_000), |plan, one| {
                plan.act(at, 25_000, Fault::Cut(vec![one], vec![(one + 1) % n]))
            }),
            "halves" => plan(40_000).act(at, 15_000, Fault::Part(half, rest)),
            "one-off" => plan(40_000).act(at, 15_000, Fault::Part(vec![1], but(1))),
            "roving" => (0..4).fold(plan(50_000), |plan, turn| {
                plan.act(
                    at + turn * 6_000,
                    6_000,
                    Fault::Part(vec![turn as usize % n], but(turn as usize % n)),
                )
            }),
            "flapping" => (0..6).fold(plan(50_000), |plan, turn| {
                plan.act(at + turn * 4_000, 2_000, Fault::Part(half.clone(), rest.clone()))
            }),
            "roll" => (0..10).fold(plan(50_000), |plan, turn| {
                let some: Some = (0..n).filter(|one| one % 10 == turn).collect();
                plan.act(at + turn as u64 * 3_000, 1_000, Fault::End(some))
            }),
            "herd" => plan(30_000).act(at, 2_000, Fault::Kill(most)),
            "unheard" => plan(25_000).act(at, 12_000, Fault::EndUnheard(vec![1])),
            "rough" => plan(40_000)
                .act(at, 25_000, Fault::Lose(0.1))
                .act(at, 25_000, Fault::Double(0.2))
                .act(at, 25_000, Fault::Garble(0.05))
                .act(at, 25_000, Fault::Delay { ms: 40 }),
            "quiet" => plan(15_000).act(at, 1_000, Fault::Halt(all)),
            _ => return None,
        })
    }

    /// The names that `named` knows.
    pub const NAMES: [&str; 21] = [
        "calm",
        "crash",
        "halt-0.5",
        "halt-3",
        "halt-30",
        "halt-third",
        "loss-30",
        "loss-10",
        "one-side",
        "one-to-all",
        "all-to-one",
        "ring",
        "halves",
        "one-off",
        "roving",
        "flapping",
        "roll",
        "herd",
        "unheard",
        "rough",
        "quiet",
    ];
}
