//! What a node does with openings, and its steps.

use rand::Rng;
use rand_distr::{Distribution, Gamma};

use super::*;
use shorewharf_units::seconds_from_micros;

/// Spread of the work from one attempt to the next: mean 1, with this coefficient of variation.
pub(super) fn noise(cv: f64) -> Option<Gamma<f64>> {
    // Below this the spread can't be seen, and the shape would be beyond what can be drawn.
    (cv > 1e-3).then(|| Gamma::new(1.0 / (cv * cv), cv * cv).ok()).flatten()
}

impl Node {
    /// A first line comes.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn opens(
        &mut self,
        now: Micros,
        link: LinkId,
        by: BalancerId,
        ask: RequestLine,
        profile: LoadProfile,
        patience: Micros,
        out: &mut Vec<NodeOutput>,
    ) {
        out.push(NodeOutput::Reached { link, weight: 1.0, cold: self.cold.takes(now) });
        if self.cold.reached(now) {
            out.push(NodeOutput::Ends(link, End::Reset));
            self.ends(now, out);
            out.push(NodeOutput::Fallen);
            return;
        }
        if self.ills.half_dead || self.ills.cut_off {
            self.mute.insert(link);
            return;
        }
        if self.ills.wrong {
            out.push(NodeOutput::Says(link, NodeMessage::Junk));
            return;
        }
        let in_hand = self.set_ups.in_hand();
        let crowded = self.standing.len() + in_hand.0 + in_hand.1 >= self.cap || self.set_ups.is_full();
        if self.draining || self.ills.full || crowded || patience == 0 {
            out.push(NodeOutput::Says(link, NodeMessage::Busy));
            return;
        }
        let fails = self.error_rate.max(self.ills.failing.unwrap_or(0.0));
        if fails > 0.0 && self.rng.random_bool(fails) {
            out.push(NodeOutput::Says(link, NodeMessage::Err));
            return;
        }
        let noise = self.attempt.as_ref().map_or(1.0, |noise| noise.sample(&mut self.rng));
        let usual = self.classes.get(ask.class as usize).map_or(0.0, |c| c.set_up);
        let work = usual * load_oscillation::set_up(ask.key) * noise;
        self.takes(
            now,
            Job { link: Some(link), what: JobKind::Client { by, ask, mean: profile.mean }, work },
        );
    }

    /// A probe comes. A node that hangs answers it later; one that only hangs on openings answers at once.
    pub(super) fn probed(&mut self, now: Micros, link: LinkId, out: &mut Vec<NodeOutput>) {
        if self.ills.half_dead {
            out.push(NodeOutput::Says(link, NodeMessage::Pong));
        } else if self.set_ups.probes() >= self.probe_cap {
            out.push(NodeOutput::Says(link, NodeMessage::Err));
        } else {
            self.takes(now, Job { link: Some(link), what: JobKind::Probe, work: self.probe_work });
        }
    }

    fn takes(&mut self, now: Micros, job: Job) {
        self.set_ups.set_pace(now, self.lane(now));
        self.set_ups.take(now, job);
    }

    /// A set-up or probe has been worked on to its end.
    pub(super) fn is_done(&mut self, now: Micros, job: Job, out: &mut Vec<NodeOutput>) {
        let Some(link) = job.link else { return };
        match job.what {
            JobKind::Probe => out.push(NodeOutput::Says(link, NodeMessage::Pong)),
            JobKind::Client { by, ask, mean } => {
                out.push(NodeOutput::Says(link, NodeMessage::Up));
                self.stands(now, link, by, &ask, mean, out);
                if self.draining && self.go_away == GoAway::AtOnce {
                    self.sends_away(link, out);
                }
            }
        }
    }

    pub(super) fn stands(
        &mut self,
        now: Micros,
        link: LinkId,
        by: BalancerId,
        ask: &RequestLine,
        mean: f64,
        out: &mut Vec<NodeOutput>,
    ) {
        let load = self.standing.add(now, link, by, ask, mean);
        if self.tells_first {
            self.tell_load(now, link, load, out);
        }
    }

    pub(super) fn tell_load(&self, now: Micros, link: LinkId, load: f64, out: &mut Vec<NodeOutput>) {
        if self.tells_load && !self.ills.silent() {
            out.push(NodeOutput::Says(link, NodeMessage::Load(load * self.course(now) * self.usual * 1e6)));
        }
    }

    /// One step, with the state at its end for all of it: that is how the simulator's servers do it.
    pub(super) fn step(&mut self, out: &mut Vec<NodeOutput>) {
        self.stepped += STEP;
        let (now, long) = (self.stepped, seconds_from_micros(STEP));
        if self.ills.hung {
            self.served.iter_mut().for_each(|(share, _)| *share = 0.0);
            return;
        }
        self.lanes = self.set_ups.busy_since(now) / STEP as f64 / self.cores;
        self.stood = self.standing_rho(now);
        self.pile = (self.pile + (self.stood + self.lanes - 1.0) * long).clamp(0.0, self.buffer.max(0.0));
        if self.pile >= self.buffer && self.sheds != Sheds::None {
            self.sheds_load(now, out);
        }
        if !self.ills.silent() && (now / STEP) % LOOK_EVERY == self.looks_at {
            self.look_at_messages(now, out);
        }
        self.pauses(long);
        let busy = self.busy(now);
        let answers = !self.ills.silent();
        for (class, (share, sum)) in self.classes.iter().zip(&mut self.served) {
            *share = if answers { busy.share(class.aim, self.bursty) } else { 0.0 };
            *sum += *share * long;
        }
        if let Some((share, length)) = self.ills.resetting {
            self.resets_some(1.0 - (1.0 - share.min(0.999_999)).powf(STEP as f64 / length as f64), out);
        }
        if self.draining && self.go_away == GoAway::Paced {
            let some = (self.standing.len() as f64 * long / (seconds_from_micros(PACED))).ceil() as usize;
            let links: Vec<LinkId> = self.standing.links().take(some).collect();
            links.into_iter().for_each(|link| self.sends_away(link, out));
        }
        self.set_ups.set_pace(now, self.lane(now));
    }

    /// Work is put off for the length of a pause each time cores have been busy for so long. It shows from the step on that
    /// the pause falls into, but not in what that step tells of messages.
    fn pauses(&mut self, long: f64) {
        let Some((every, length)) = self.pauses else { return };
        self.worked += (self.stood + self.lanes).min(1.0) * self.cores * long;
        if self.worked >= every {
            self.worked = 0.0;
            self.pile = (self.pile + length).min(self.buffer.max(length));
        }
    }

    /// Drops connections until the rest fits.
    fn sheds_load(&mut self, now: Micros, out: &mut Vec<NodeOutput>) {
        let order: Vec<LinkId> = match self.sheds {
            Sheds::None => return,
            Sheds::Newest => self.standing.links().rev().collect(),
            Sheds::Heaviest => self.standing.heaviest(),
        };
        for link in order {
            if self.standing_rho(now) + self.lanes <= SHED_TO {
                break;
            }
            self.standing.remove(link);
            out.push(NodeOutput::Ends(link, End::Reset));
        }
        self.stood = self.standing_rho(now);
    }

    /// Tells each balancer what a message takes, while that is over a third of the shortest aim and once more after.
    fn look_at_messages(&mut self, now: Micros, out: &mut Vec<NodeOutput>) {
        let aim = self.classes.iter().map(|c| c.aim).fold(f64::INFINITY, f64::min);
        let delay = self.busy(now).delay();
        let slow = delay > aim / 3.0;
        if !self.tells_delay || (!slow && self.told_slow.is_empty()) {
            return;
        }
        for (by, link) in self.standing.one_by_balancer() {
            if slow || self.told_slow.contains(&by) {
                out.push(NodeOutput::Says(link, NodeMessage::Delay(delay * 1e3)));
            }
            if slow {
                self.told_slow.insert(by);
            }
        }
        if !slow {
            self.told_slow.clear();
        }
    }

    fn resets_some(&mut self, chance: f64, out: &mut Vec<NodeOutput>) {
        let links: Vec<LinkId> = self.standing.links().collect();
        for link in links {
            if self.rng.random_bool(chance.clamp(0.0, 1.0)) {
                self.standing.remove(link);
                out.push(NodeOutput::Ends(link, End::Reset));
            }
        }
    }

    fn sends_away(&mut self, link: LinkId, out: &mut Vec<NodeOutput>) {
        self.standing.remove(link);
        out.extend([NodeOutput::Says(link, NodeMessage::Move), NodeOutput::Ends(link, End::Fin)]);
    }

    /// It takes nothing new from now on; what waits is turned away.
    pub(super) fn drains(&mut self, out: &mut Vec<NodeOutput>) {
        if !self.up || self.draining {
            return;
        }
        self.draining = true;
        out.extend(self.set_ups.clear().into_iter().map(|link| NodeOutput::Says(link, NodeMessage::Busy)));
        if self.go_away == GoAway::AtOnce {
            let links: Vec<LinkId> = self.standing.links().collect();
            links.into_iter().for_each(|link| self.sends_away(link, out));
        }
    }

    /// Its process is gone, and with it all that it held.
    pub(super) fn ends(&mut self, now: Micros, out: &mut Vec<NodeOutput>) {
        let standing: Vec<LinkId> = self.standing.links().collect();
        for link in &standing {
            self.standing.remove(*link);
        }
        let all = standing.into_iter().chain(self.set_ups.clear()).chain(std::mem::take(&mut self.mute));
        out.extend(all.map(|link| NodeOutput::Ends(link, End::Reset)));
        self.rests(now);
        self.up = false;
    }

    /// Its process starts.
    pub(super) fn starts(&mut self, now: Micros) {
        self.rests(now);
        self.up = true;
        self.cold.start(now);
    }

    /// Nothing is asked of it.
    fn rests(&mut self, now: Micros) {
        for (share, sum) in &mut self.served {
            *sum += *share * now.saturating_sub(self.stepped) as f64 / 1e6;
            *share = 1.0;
        }
        self.stepped = now - now % STEP;
        self.set_ups.busy_since(now);
        (self.pile, self.worked, self.stood, self.lanes) = (0.0, 0.0, 0.0, 0.0);
        self.draining = false;
        self.told_slow.clear();
    }

    pub(super) fn falls_ill(
        &mut self,
        now: Micros,
        kind: FaultKind,
        on: bool,
        size: f64,
        out: &mut Vec<NodeOutput>,
    ) {
        let was = self.ills.clone();
        self.ills.set(now, kind, on, size, &self.resets);
        if was.silent() != self.ills.silent() {
            out.push(NodeOutput::Silent(self.ills.silent()));
        }
        if was.cut_off && !self.ills.cut_off {
            // What it held has been given up on the other side, or is now.
            let links: Vec<LinkId> = self.standing.links().collect();
            links.iter().for_each(|link| {
                self.standing.remove(*link);
            });
            let all = links.into_iter().chain(self.set_ups.clear()).chain(std::mem::take(&mut self.mute));
            out.extend(all.map(|link| NodeOutput::Ends(link, End::Reset)));
        }
        self.set_ups.set_pace(now, self.lane(now));
    }
}
