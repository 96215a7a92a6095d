//! Fault plans: which faults affect the processes of a fleet and the network between them, and when. A plan
//! is stored as JSON with its seed, so that a failing run can be repeated, with real processes or in the
//! simulation.

use serde::{Deserialize, Serialize};

/// Indices of processes in the fleet.
pub type ProcessSet = Vec<usize>;

/// A fault of processes or of the network.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Stops the processes; they continue when the fault ends.
    #[serde(rename = "halt")]
    Pause(ProcessSet),
    /// Kills the processes; they restart when the fault ends.
    Kill(ProcessSet),
    /// Kills the processes; they restart without their votes when the fault ends.
    LoseVotes(ProcessSet),
    /// Kills the processes; they restart with the votes that they had when the plan began.
    #[serde(rename = "older_votes")]
    RestoreOldVotes(ProcessSet),
    /// Shuts the processes down; they restart when the fault ends.
    #[serde(rename = "end")]
    Shutdown(ProcessSet),
    /// Shuts the processes down while none of their datagrams is delivered; they restart when the fault ends.
    #[serde(rename = "end_unheard")]
    SilentShutdown(ProcessSet),
    /// Drops datagrams from the first processes to the second.
    #[serde(rename = "cut")]
    OneWayPartition(ProcessSet, ProcessSet),
    /// Drops datagrams between the two sets, both ways.
    #[serde(rename = "part")]
    Partition(ProcessSet, ProcessSet),
    /// Drops this share of all datagrams.
    #[serde(rename = "lose")]
    PacketLoss(f64),
    /// Duplicates this share of all datagrams.
    #[serde(rename = "double")]
    Duplication(f64),
    /// Flips one bit in this share of all datagrams.
    #[serde(rename = "garble")]
    Corruption(f64),
    /// Delays each datagram by `ms` plus a random time of up to `ms`, which reorders them.
    Delay { ms: u64 },
}

/// A fault with its start and duration, in milliseconds from the start of the plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlannedFault {
    pub at_ms: u64,
    #[serde(rename = "for_ms")]
    pub duration_ms: u64,
    pub fault: Fault,
}

/// A named sequence of faults for a fleet of `processes` processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    pub name: String,
    /// Seed of the random choices of a run.
    pub seed: u64,
    /// Size of the fleet.
    pub processes: usize,
    /// Duration of a simulated run.
    pub span_ms: u64,
    #[serde(rename = "acts")]
    pub faults: Vec<PlannedFault>,
}

impl Plan {
    /// A plan without faults.
    #[must_use]
    pub fn new(name: &str, processes: usize, span_ms: u64) -> Plan {
        Plan { name: name.to_string(), seed: 1, processes, span_ms, faults: Vec::new() }
    }

    /// Adds a fault.
    #[must_use]
    pub fn with_fault(mut self, at_ms: u64, duration_ms: u64, fault: Fault) -> Plan {
        self.faults.push(PlannedFault { at_ms, duration_ms, fault });
        self
    }

    /// The plan as JSON.
    #[must_use]
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("a plan can be serialized")
    }

    /// Parses a plan from JSON.
    ///
    /// # Errors
    /// The text is not a valid plan.
    pub fn from_json(text: &str) -> Result<Plan, String> {
        serde_json::from_str(text).map_err(|error| error.to_string())
    }

    /// Starts and ends of faults in the order of time: the time, the index of the fault, and whether it
    /// starts.
    #[must_use]
    pub fn steps(&self) -> Vec<(u64, usize, bool)> {
        let starts = self.faults.iter().enumerate().map(|(index, fault)| (fault.at_ms, index, true));
        let ends = self
            .faults
            .iter()
            .enumerate()
            .map(|(index, fault)| (fault.at_ms + fault.duration_ms, index, false));
        let mut steps: Vec<_> = starts.chain(ends).collect();
        steps.sort_by_key(|&(at_ms, index, starts)| (at_ms, !starts, index));
        steps
    }

    /// A predefined plan for `processes` processes, or `None` if there is none of this name.
    #[must_use]
    pub fn named(name: &str, processes: usize) -> Option<Plan> {
        let count = processes;
        let all_processes: ProcessSet = (0..count).collect();
        let all_except =
            |excluded: usize| -> ProcessSet { (0..count).filter(|&other| other != excluded).collect() };
        let (first_half, second_half): (ProcessSet, ProcessSet) =
            ((0..count / 2).collect(), (count / 2..count).collect());
        let every_third: ProcessSet = (0..count / 3).map(|index| index * 3 + 1).collect();
        let first_70_percent: ProcessSet = (0..count * 7 / 10).collect();
        let empty_plan = |span_ms| Plan::new(name, processes, span_ms);
        // All processes know each other by then.
        let start_ms = 8_000;
        Some(match name {
            "calm" => empty_plan(60_000),
            "crash" => empty_plan(30_000).with_fault(start_ms, 12_000, Fault::Kill(vec![1])),
            "halt-0.5" => empty_plan(20_000).with_fault(start_ms, 500, Fault::Pause(vec![1])),
            "halt-3" => empty_plan(20_000).with_fault(start_ms, 3_000, Fault::Pause(vec![1])),
            "halt-30" => empty_plan(60_000).with_fault(start_ms, 30_000, Fault::Pause(vec![1])),
            "halt-third" => empty_plan(20_000).with_fault(start_ms, 3_000, Fault::Pause(every_third)),
            "loss-30" => empty_plan(40_000).with_fault(start_ms, 30_000, Fault::PacketLoss(0.3)),
            "loss-10" => empty_plan(620_000).with_fault(start_ms, 600_000, Fault::PacketLoss(0.1)),
            "one-side" => {
                empty_plan(40_000).with_fault(start_ms, 25_000, Fault::OneWayPartition(vec![0], vec![1]))
            }
            "one-to-all" => empty_plan(40_000).with_fault(
                start_ms,
                20_000,
                Fault::OneWayPartition(vec![1], all_except(1)),
            ),
            "all-to-one" => empty_plan(40_000).with_fault(
                start_ms,
                20_000,
                Fault::OneWayPartition(all_except(1), vec![1]),
            ),
            "ring" => (0..count).fold(empty_plan(40_000), |plan, sender| {
                plan.with_fault(
                    start_ms,
                    25_000,
                    Fault::OneWayPartition(vec![sender], vec![(sender + 1) % count]),
                )
            }),
            "halves" => {
                empty_plan(40_000).with_fault(start_ms, 15_000, Fault::Partition(first_half, second_half))
            }
            "one-off" => {
                empty_plan(40_000).with_fault(start_ms, 15_000, Fault::Partition(vec![1], all_except(1)))
            }
            "roving" => (0..4).fold(empty_plan(50_000), |plan, round| {
                plan.with_fault(
                    start_ms + round * 6_000,
                    6_000,
                    Fault::Partition(vec![round as usize % count], all_except(round as usize % count)),
                )
            }),
            "flapping" => (0..6).fold(empty_plan(50_000), |plan, round| {
                plan.with_fault(
                    start_ms + round * 4_000,
                    2_000,
                    Fault::Partition(first_half.clone(), second_half.clone()),
                )
            }),
            "roll" => (0..10).fold(empty_plan(50_000), |plan, round| {
                let batch: ProcessSet = (0..count).filter(|process| process % 10 == round).collect();
                plan.with_fault(start_ms + round as u64 * 3_000, 1_000, Fault::Shutdown(batch))
            }),
            "herd" => empty_plan(30_000).with_fault(start_ms, 2_000, Fault::Kill(first_70_percent)),
            "unheard" => empty_plan(25_000).with_fault(start_ms, 12_000, Fault::SilentShutdown(vec![1])),
            "rough" => empty_plan(40_000)
                .with_fault(start_ms, 25_000, Fault::PacketLoss(0.1))
                .with_fault(start_ms, 25_000, Fault::Duplication(0.2))
                .with_fault(start_ms, 25_000, Fault::Corruption(0.05))
                .with_fault(start_ms, 25_000, Fault::Delay { ms: 40 }),
            "quiet" => empty_plan(15_000).with_fault(start_ms, 1_000, Fault::Pause(all_processes)),
            _ => return None,
        })
    }

    /// Names of the predefined plans.
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
