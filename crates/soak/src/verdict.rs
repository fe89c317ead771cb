//! The result of a run.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ledger::{Answer, Violation};

/// A line of a balancer's log.
#[derive(Clone, Debug)]
pub struct LogLine {
    /// The balancer's number.
    pub balancer: usize,
    /// The text of the line.
    pub text: String,
}

/// The result of a run.
#[derive(Debug)]
pub struct Verdict {
    /// The number of requests that were sent.
    pub requests: usize,
    /// The number of answers of each kind.
    pub answers: BTreeMap<Answer, usize>,
    /// The violations of rules.
    pub violations: Vec<Violation>,
    /// Failures of processes: unexpected exits, violations that their own guards logged, panics.
    pub failures: Vec<String>,
    /// The longest time by which an answer came after its deadline.
    pub latest_answer: Duration,
    /// The longest delay with which this machine woke a thread.
    pub max_wake_delay: Duration,
    /// The log lines of all balancers.
    pub log: Vec<LogLine>,
}

impl Verdict {
    /// Whether no rule was violated and no process failed.
    pub fn is_clean(&self) -> bool {
        self.violations.is_empty() && self.failures.is_empty()
    }

    /// The log lines about a request, found by the number that its balancer gave it, with the starts and shutdowns of the
    /// balancer from then on.
    pub fn trace(&self, request: u64) -> Vec<String> {
        let id = format!(" id={request:x} ");
        let Some(first) = self.log.iter().position(|line| line.text.contains(&id)) else { return Vec::new() };
        let LogLine { balancer, text } = &self.log[first];
        let Some(number) = field(text, "req=") else { return Vec::new() };
        let is_of_request =
            |text: &str| text.split(' ').any(|word| word.strip_prefix("req=") == Some(number));
        let is_of_process =
            |text: &str| text.contains("event=shutting-down") || text.contains("event=serving");
        let of_balancer = self.log[first..].iter().filter(|line| line.balancer == *balancer);
        let texts = of_balancer.map(|line| &line.text);
        texts.filter(|text| is_of_request(text) || is_of_process(text)).cloned().collect()
    }
}

/// The value after `key`, which includes the `=`, in a line of `key=value` words.
pub(crate) fn field<'l>(line: &'l str, key: &str) -> Option<&'l str> {
    line.split(key).nth(1)?.split(' ').next()
}
