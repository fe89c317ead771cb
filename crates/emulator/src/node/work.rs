//! A node's handling of requests, drains and faults, and the steps of its load model.

use rand::Rng;
use rand_distr::{Distribution, Gamma};

use super::setup_queue::{Job, JobKind};
use super::{
    Node, NodeOutput, PACED_DRAIN_TIME, SHED_TARGET_UTILIZATION, STEP, STEPS_PER_DELAY_CHECK,
    load_oscillation,
};
use crate::day::{DrainPolicy, FaultKind, ShedPolicy};
use crate::edge::{BalancerId, End, LinkId, NodeMessage, RequestLine};
use crate::population::LoadProfile;
use shorewharf_units::Micros;
use shorewharf_units::seconds_from_micros;

/// Returns the distribution of the random factor of an attempt's work, which has a mean of 1 and this
/// coefficient of variation; none if the work does not vary.
pub(super) fn attempt_noise(cv: f64) -> Option<Gamma<f64>> {
    // A smaller variation has no visible effect, and its shape parameter is too large for the distribution.
    (cv > 1e-3).then(|| Gamma::new(1.0 / (cv * cv), cv * cv).ok()).flatten()
}

impl Node {
    /// Handles the first line of an attempt.
    #[expect(clippy::too_many_arguments, reason = "one argument for each field of the message")]
    pub(super) fn on_open(
        &mut self,
        now: Micros,
        link: LinkId,
        by: BalancerId,
        ask: RequestLine,
        profile: LoadProfile,
        patience: Micros,
        outputs: &mut Vec<NodeOutput>,
    ) {
        outputs.push(NodeOutput::AttemptArrived {
            link,
            weight: 1.0,
            cold: self.warm_up.admission_rate(now),
        });
        if self.warm_up.on_attempt(now) {
            outputs.push(NodeOutput::Close(link, End::Reset));
            self.end_process(now, outputs);
            outputs.push(NodeOutput::Overloaded);
            return;
        }
        if self.faults.ignores_opens || self.faults.is_cut_off {
            self.unanswered.insert(link);
            return;
        }
        if self.faults.answers_junk {
            outputs.push(NodeOutput::Message(link, NodeMessage::Junk));
            return;
        }
        let jobs = self.setup_queue.working_and_waiting();
        let at_capacity =
            self.established.len() + jobs.0 + jobs.1 >= self.connection_cap || self.setup_queue.is_full();
        if self.draining || self.faults.is_full || at_capacity || patience == 0 {
            outputs.push(NodeOutput::Message(link, NodeMessage::Busy));
            return;
        }
        let error_rate = self.error_rate.max(self.faults.error_rate.unwrap_or(0.0));
        if error_rate > 0.0 && self.rng.random_bool(error_rate) {
            outputs.push(NodeOutput::Message(link, NodeMessage::Err));
            return;
        }
        let noise = self.attempt_noise.as_ref().map_or(1.0, |noise| noise.sample(&mut self.rng));
        let mean_work = self.classes.get(ask.class as usize).map_or(0.0, |c| c.set_up);
        let work = mean_work * load_oscillation::setup_work_factor(ask.key) * noise;
        self.enqueue(
            now,
            Job { link: Some(link), kind: JobKind::Client { by, ask, mean: profile.mean }, work },
        );
    }

    /// Handles a health check. A stalled node answers it later; one that only ignores requests answers at
    /// once.
    pub(super) fn on_probe(&mut self, now: Micros, link: LinkId, outputs: &mut Vec<NodeOutput>) {
        if self.faults.ignores_opens {
            outputs.push(NodeOutput::Message(link, NodeMessage::Pong));
        } else if self.setup_queue.probes() >= self.probe_cap {
            outputs.push(NodeOutput::Message(link, NodeMessage::Err));
        } else {
            self.enqueue(now, Job { link: Some(link), kind: JobKind::Probe, work: self.probe_work });
        }
    }

    fn enqueue(&mut self, now: Micros, job: Job) {
        self.setup_queue.set_pace(now, self.lane_speed(now));
        self.setup_queue.enqueue(now, job);
    }

    /// Completes a set-up or health check.
    pub(super) fn on_setup_done(&mut self, now: Micros, job: Job, outputs: &mut Vec<NodeOutput>) {
        let Some(link) = job.link else { return };
        match job.kind {
            JobKind::Probe => outputs.push(NodeOutput::Message(link, NodeMessage::Pong)),
            JobKind::Client { by, ask, mean } => {
                outputs.push(NodeOutput::Message(link, NodeMessage::Up));
                self.establish(now, link, by, &ask, mean, outputs);
                if self.draining && self.drain_policy == DrainPolicy::AtOnce {
                    self.migrate(link, outputs);
                }
            }
        }
    }

    pub(super) fn establish(
        &mut self,
        now: Micros,
        link: LinkId,
        by: BalancerId,
        ask: &RequestLine,
        mean: f64,
        outputs: &mut Vec<NodeOutput>,
    ) {
        let load = self.established.add(now, link, by, ask, mean);
        if self.reports_initial_load {
            self.report_load(now, link, load, outputs);
        }
    }

    pub(super) fn report_load(&self, now: Micros, link: LinkId, load: f64, outputs: &mut Vec<NodeOutput>) {
        if self.reports_load && !self.faults.is_silent() {
            outputs.push(NodeOutput::Message(
                link,
                NodeMessage::Load(load * self.traffic_factor(now) * self.usual_load * 1e6),
            ));
        }
    }

    /// Takes one step. The state at its end applies to the whole step, as in the simulator's servers.
    pub(super) fn step(&mut self, outputs: &mut Vec<NodeOutput>) {
        self.last_step += STEP;
        let (now, step_seconds) = (self.last_step, seconds_from_micros(STEP));
        if self.faults.is_stalled {
            self.served.iter_mut().for_each(|(share, _)| *share = 0.0);
            return;
        }
        self.setup_utilization = self.setup_queue.take_busy_time(now) / STEP as f64 / self.cores;
        self.connection_utilization = self.established_utilization(now);
        self.backlog = (self.backlog
            + (self.connection_utilization + self.setup_utilization - 1.0) * step_seconds)
            .clamp(0.0, self.max_backlog.max(0.0));
        if self.backlog >= self.max_backlog && self.shed_policy != ShedPolicy::None {
            self.shed_load(now, outputs);
        }
        if !self.faults.is_silent() && (now / STEP) % STEPS_PER_DELAY_CHECK == self.delay_check_phase {
            self.report_delays(now, outputs);
        }
        self.apply_pause(step_seconds);
        let load_level = self.load_level(now);
        let is_responding = !self.faults.is_silent();
        for (class, (share, sum)) in self.classes.iter().zip(&mut self.served) {
            *share = if is_responding {
                load_level.share_in_time(class.message_latency_objective, self.burstiness)
            } else {
                0.0
            };
            *sum += *share * step_seconds;
        }
        if let Some((share, length)) = self.faults.reset_share {
            self.reset_connections(
                1.0 - (1.0 - share.min(0.999_999)).powf(STEP as f64 / length as f64),
                outputs,
            );
        }
        if self.draining && self.drain_policy == DrainPolicy::Paced {
            let count = (self.established.len() as f64 * step_seconds
                / (seconds_from_micros(PACED_DRAIN_TIME)))
            .ceil() as usize;
            let links: Vec<LinkId> = self.established.links().take(count).collect();
            links.into_iter().for_each(|link| self.migrate(link, outputs));
        }
        self.setup_queue.set_pace(now, self.lane_speed(now));
    }

    /// Adds the length of a pause to the backlog each time the cores have been busy for the configured time.
    /// The pause affects the step that it falls into, but not the delay that this step reports.
    fn apply_pause(&mut self, step_seconds: f64) {
        let Some((every, length)) = self.pauses else { return };
        self.busy_since_pause +=
            (self.connection_utilization + self.setup_utilization).min(1.0) * self.cores * step_seconds;
        if self.busy_since_pause >= every {
            self.busy_since_pause = 0.0;
            self.backlog = (self.backlog + length).min(self.max_backlog.max(length));
        }
    }

    /// Drops connections until the remaining load fits.
    fn shed_load(&mut self, now: Micros, outputs: &mut Vec<NodeOutput>) {
        let links: Vec<LinkId> = match self.shed_policy {
            ShedPolicy::None => return,
            ShedPolicy::Newest => self.established.links().rev().collect(),
            ShedPolicy::Heaviest => self.established.heaviest(),
        };
        for link in links {
            if self.established_utilization(now) + self.setup_utilization <= SHED_TARGET_UTILIZATION {
                break;
            }
            self.established.remove(link);
            outputs.push(NodeOutput::Close(link, End::Reset));
        }
        self.connection_utilization = self.established_utilization(now);
    }

    /// Reports the message delay to each balancer while it exceeds a third of the shortest latency objective,
    /// and once more after it has fallen below.
    fn report_delays(&mut self, now: Micros, outputs: &mut Vec<NodeOutput>) {
        let objective =
            self.classes.iter().map(|c| c.message_latency_objective).fold(f64::INFINITY, f64::min);
        let delay = self.load_level(now).delay();
        let slow = delay > objective / 3.0;
        if !self.reports_delay || (!slow && self.notified_of_delay.is_empty()) {
            return;
        }
        for (by, link) in self.established.oldest_by_balancer() {
            if slow || self.notified_of_delay.contains(&by) {
                outputs.push(NodeOutput::Message(link, NodeMessage::Delay(delay * 1e3)));
            }
            if slow {
                self.notified_of_delay.insert(by);
            }
        }
        if !slow {
            self.notified_of_delay.clear();
        }
    }

    fn reset_connections(&mut self, probability: f64, outputs: &mut Vec<NodeOutput>) {
        let links: Vec<LinkId> = self.established.links().collect();
        for link in links {
            if self.rng.random_bool(probability.clamp(0.0, 1.0)) {
                self.established.remove(link);
                outputs.push(NodeOutput::Close(link, End::Reset));
            }
        }
    }

    fn migrate(&mut self, link: LinkId, outputs: &mut Vec<NodeOutput>) {
        self.established.remove(link);
        outputs.extend([NodeOutput::Message(link, NodeMessage::Move), NodeOutput::Close(link, End::Fin)]);
    }

    /// Begins to drain: waiting requests are rejected.
    pub(super) fn drain(&mut self, outputs: &mut Vec<NodeOutput>) {
        if !self.up || self.draining {
            return;
        }
        self.draining = true;
        outputs.extend(
            self.setup_queue.clear().into_iter().map(|link| NodeOutput::Message(link, NodeMessage::Busy)),
        );
        if self.drain_policy == DrainPolicy::AtOnce {
            let links: Vec<LinkId> = self.established.links().collect();
            links.into_iter().for_each(|link| self.migrate(link, outputs));
        }
    }

    /// Ends the process and all its connections.
    pub(super) fn end_process(&mut self, now: Micros, outputs: &mut Vec<NodeOutput>) {
        let established: Vec<LinkId> = self.established.links().collect();
        for link in &established {
            self.established.remove(*link);
        }
        let all = established
            .into_iter()
            .chain(self.setup_queue.clear())
            .chain(std::mem::take(&mut self.unanswered));
        outputs.extend(all.map(|link| NodeOutput::Close(link, End::Reset)));
        self.reset_load(now);
        self.up = false;
    }

    /// Starts the process.
    pub(super) fn start_process(&mut self, now: Micros) {
        self.reset_load(now);
        self.up = true;
        self.warm_up.start(now);
    }

    /// Resets the load model.
    fn reset_load(&mut self, now: Micros) {
        for (share, sum) in &mut self.served {
            *sum += *share * now.saturating_sub(self.last_step) as f64 / 1e6;
            *share = 1.0;
        }
        self.last_step = now - now % STEP;
        self.setup_queue.take_busy_time(now);
        (self.backlog, self.busy_since_pause, self.connection_utilization, self.setup_utilization) =
            (0.0, 0.0, 0.0, 0.0);
        self.draining = false;
        self.notified_of_delay.clear();
    }

    pub(super) fn set_fault(
        &mut self,
        now: Micros,
        kind: FaultKind,
        on: bool,
        size: f64,
        outputs: &mut Vec<NodeOutput>,
    ) {
        let previous = self.faults.clone();
        self.faults.set(now, kind, on, size, &self.reset_faults);
        if previous.is_silent() != self.faults.is_silent() {
            outputs.push(NodeOutput::Silent(self.faults.is_silent()));
        }
        if previous.is_cut_off && !self.faults.is_cut_off {
            // The balancers have given up the node's connections, or do so on these resets.
            let links: Vec<LinkId> = self.established.links().collect();
            links.iter().for_each(|link| {
                self.established.remove(*link);
            });
            let all =
                links.into_iter().chain(self.setup_queue.clear()).chain(std::mem::take(&mut self.unanswered));
            outputs.extend(all.map(|link| NodeOutput::Close(link, End::Reset)));
        }
        self.setup_queue.set_pace(now, self.lane_speed(now));
    }
}
