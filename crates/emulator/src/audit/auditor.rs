//! Composes the audit: each fact goes to the parts that it concerns, and what they find goes into the verdict.

mod connections;

use super::established::EstablishedConnection;
use super::lists::NotifiedLists;
use super::nodes::{Nodes, Overload};
use super::request::{Finding, Over, Request};
use super::table::{Check, Conn, Link, Table};
use super::tolerances::AuditTolerances;
use super::trace::{What, secs, together};
use super::verdict::{Case, Exemption, Reason, Verdict};
use super::{Corruption, Observation};
use crate::day::Day;
use crate::edge::{
    Answer, BalancerId, ConnId, End, FromBalancer, LinkId, NodeId, NodeMessage, RequestLine, ToBalancer,
};
use shorewharf_units::Micros;

/// Judges a run as it goes. Feed it what happens in order of time, then ask for its verdict.
#[derive(Debug)]
pub struct Auditor {
    tolerances: AuditTolerances,
    notified_lists: NotifiedLists,
    nodes: Nodes,
    table: Table,
    /// By balancer: SIGTERM has gone to it.
    terminating: Vec<bool>,
    /// The time of the last fact.
    now: Micros,
    verdict: Verdict,
}

impl Auditor {
    /// An auditor of one run of this day.
    pub fn new(day: &Day, tolerances: AuditTolerances) -> Self {
        let leaving = vec![false; day.balancers.len()];
        let (told, nodes, table) = (NotifiedLists::default(), Nodes::default(), Table::default());
        Auditor {
            tolerances,
            notified_lists: told,
            nodes,
            table,
            terminating: leaving,
            now: 0,
            verdict: Verdict::default(),
        }
    }

    /// Takes a fact in. Time does not go back: on sockets what the world planned is told a little after it was due, and
    /// what was read meanwhile came first.
    pub fn observe(&mut self, now: Micros, seen: Observation<'_>) {
        let now = now.max(self.now);
        self.now = now;
        self.run_due_checks(now);
        match seen {
            Observation::To(by, to) => self.on_input(now, by, to),
            Observation::From(by, from) => self.on_output(now, by, from),
            Observation::Listed(entry) => {
                self.notified_lists.on_listed(now, entry);
                self.nodes.node_mut(entry.node).trace.note(now, What::Listed(entry.stage));
            }
            Observation::Node(node, health) => self.nodes.set_health(now, node, health),
            Observation::Reached { by, link, node, weight, cold } => {
                let knew = self.knew_of_start(now, by, link, node);
                if let Some(pushed) =
                    self.nodes.on_attempt(now, (node, by), (weight, cold), knew, &self.tolerances)
                {
                    self.record_overload(now, node, pushed);
                }
            }
            Observation::Sent { by, link, node, conn, first } => {
                self.on_attempt(now, first, by, link, node, conn);
            }
            Observation::Stands { by, conn, link, node } => {
                self.on_already_established(now, by, conn, link, node);
            }
            Observation::Missed(by, id) => {
                let case = Case { reason: Reason::NotCarried, at: now, by, conn: Some(id), node: None };
                self.verdict.record(case, String::new(), Vec::new);
            }
            Observation::Passed(conn, way) => self.on_line_delivered(now, conn, way),
            Observation::Garbled(conn, garble) => {
                let reason = match garble {
                    Corruption::MoveInLine => Reason::MoveInLine,
                    Corruption::Changed => Reason::LineChanged,
                };
                self.record_finding(conn, Finding::RuleViolation(reason, now, String::new()));
            }
            Observation::Bad(by, id) => {
                self.table.open(id, Conn::new(by, Request::new(Micros::MAX / 2, false)));
                if let Some(conn) = self.table.conn(id) {
                    conn.is_misbehaving = true;
                }
            }
        }
    }

    /// Breaks so far.
    pub fn verdict(&self) -> &Verdict {
        &self.verdict
    }

    /// Connections that are remembered now.
    pub fn tracked_connections(&self) -> usize {
        self.table.len()
    }

    /// The run is over.
    pub fn finish(mut self, now: Micros) -> Verdict {
        let now = now.max(self.now);
        self.run_due_checks(now);
        for id in self.table.ids(None) {
            self.confirm_deferred_finding(id);
            self.check_unanswered(now, id, Over::End);
        }
        self.verdict.sort_violations();
        self.verdict
    }

    fn on_input(&mut self, now: Micros, by: BalancerId, to: &ToBalancer) {
        match to {
            ToBalancer::Start { known, .. } => {
                *self.terminating_mut(by) = false;
                self.notified_lists.on_start(now, by, known);
            }
            ToBalancer::Kill => self.on_killed(now, by),
            ToBalancer::Terminate => *self.terminating_mut(by) = true,
            ToBalancer::Reload { .. } => self.notified_lists.on_reload(now, by),
            ToBalancer::Request { request: ask, remaining: left } => self.on_request(now, by, ask, *left),
            ToBalancer::ClientLine(id) => self.on_client_line(now, *id),
            ToBalancer::ClientEnded(id, end) => self.on_client_closed(now, *id, *end),
            ToBalancer::LinkUp(id) => {
                if let Some((link, conn)) = self.table.link_and_conn(by, *id) {
                    conn.trace.note(now, What::LinkUp(link.node));
                }
            }
            ToBalancer::LinkFailed(id) => {
                if let Some((link, conn)) = self.table.link_and_conn(by, *id) {
                    link.closed_by_balancer = Some(now);
                    conn.request.end_attempt(*id);
                    conn.trace.note(now, What::LinkFailed(link.node));
                }
            }
            ToBalancer::NodeMessage(link, word) => self.on_node_message(now, by, *link, *word),
            ToBalancer::NodeEnded(link, end) => self.on_node_closed(now, by, *link, *end),
            ToBalancer::List { full, entries } => {
                self.notified_lists.on_endpoint_list(now, by, *full, entries);
            }
            ToBalancer::ListFailed => self.notified_lists.on_poll_failed(now, by),
        }
    }

    fn on_output(&mut self, now: Micros, by: BalancerId, from: &FromBalancer) {
        match *from {
            FromBalancer::Answer(id, answer) => self.on_answer(now, by, id, answer),
            FromBalancer::EndClient(id, end) => self.on_balancer_closed_client(now, by, id, end),
            // On sockets it may follow what was told of it as sent.
            FromBalancer::Link { link, node, conn: Some(conn) } => {
                if self.table.link_of(by, link).is_none_or(|l| l.conn != conn) {
                    self.on_attempt(now, now, by, link, node, conn);
                }
            }
            FromBalancer::EndLink(link, end) => self.on_balancer_closed_link(now, by, link, end),
            FromBalancer::Watch => self.notified_lists.on_watch(now, by),
            FromBalancer::Unwatch => self.notified_lists.on_unwatch(now, by),
            FromBalancer::ConnectionRefused(id) => self.on_connection_refused(now, id),
            FromBalancer::MalformedRequest(node) => {
                let case = Case { reason: Reason::Syntax, at: now, by, conn: None, node: Some(node) };
                self.verdict.record(case, String::new(), Vec::new);
            }
            FromBalancer::Exited => self.on_exited(now, by),
            FromBalancer::Link { conn: None, .. }
            | FromBalancer::Forward { .. }
            | FromBalancer::Probe(_)
            | FromBalancer::Pass(_)
            | FromBalancer::Ready => {}
        }
    }

    fn terminating_mut(&mut self, by: BalancerId) -> &mut bool {
        let place = by.0 as usize;
        if self.terminating.len() <= place {
            self.terminating.resize(place + 1, false);
        }
        &mut self.terminating[place]
    }

    // What is found.

    fn record_finding(&mut self, id: ConnId, finding: Finding) {
        let Some(conn) = self.table.conn(id) else { return };
        if conn.is_closed_to_findings {
            return;
        }
        match finding {
            Finding::Exempted(why) => self.verdict.exempt(why),
            Finding::RuleViolation(reason, at, detail) => {
                conn.is_closed_to_findings = true;
                let node = conn.established.as_ref().map(|s| s.node);
                let case = Case { reason, at, by: conn.by, conn: Some(id), node };
                let of_node = node.map(|n| &self.nodes.node_mut(n).trace);
                self.verdict.record(case, detail, || together([&conn.trace].into_iter().chain(of_node)));
            }
        }
    }

    fn check_unanswered(&mut self, now: Micros, id: ConnId, how: Over) {
        let Some(conn) = self.table.conn(id).filter(|c| c.is_awaiting_answer() && !c.is_misbehaving) else {
            return;
        };
        if let Some(finding) = conn.request.on_over(now, how, &self.tolerances) {
            self.record_finding(id, finding);
        }
    }

    fn record_overload(&mut self, now: Micros, node: NodeId, pushed: Overload) {
        if !pushed.is_attributable() {
            return self.verdict.exempt(Exemption::PushedOverUnknowing);
        }
        let shares: Vec<String> =
            pushed.shares.iter().map(|(b, sent)| format!("{}: {sent:.3}", b.0)).collect();
        let detail = format!(
            "sent {:.3} where {:.3} would have been borne, {:.3} of it knowingly; by balancer {}",
            pushed.sent,
            pushed.budget,
            pushed.known_weight,
            shares.join(", ")
        );
        let case = Case { reason: Reason::PushedOver, at: now, by: pushed.by, conn: None, node: Some(node) };
        let ring = &self.nodes.node_mut(node).trace;
        self.verdict.record(case, detail, || together([ring]));
    }

    /// Looks at what has fallen due before `now`.
    fn run_due_checks(&mut self, now: Micros) {
        while let Some((at, id, check)) = self.table.pop_due(now) {
            let Some(conn) = self.table.conn(id) else { continue };
            if check == Check::Forget {
                self.table.forget(id);
                continue;
            }
            let finding = match (check, conn.established.as_ref()) {
                (Check::DeferredFinding, _) => conn.deferred_finding.take().map(|f| *f),
                (Check::DuplicateAttempt(link, sent), _) => conn.request.check_duplicate(link, sent),
                (_, None) => None,
                (Check::ToNode, Some(s))
                    if !self.nodes.node_mut(s.node).is_responsive_for(at, self.tolerances.max_line_hold) =>
                {
                    None
                }
                (Check::ToNode, Some(s)) => s.check_line_held(at, conn.to_node.waiting(), &self.tolerances),
                (Check::ToClient, Some(s)) => {
                    s.check_line_held(at, conn.to_client.waiting(), &self.tolerances)
                }
                (Check::Silent, Some(s)) => s.check_silent(at, self.nodes.node_mut(s.node), &self.tolerances),
                (Check::ClosedByNode, Some(s)) => s.check_outlives_server(at, &self.tolerances),
                (Check::ClosedByBalancer, Some(s)) => s.check_outlives_link(at, &self.tolerances),
                (Check::Forget, _) => None,
            };
            match finding {
                Some(finding) => self.record_finding(id, finding),
                None => self.schedule_progress_checks(at, id),
            }
        }
    }

    /// Schedules the checks that depend on further progress of the connection.
    fn schedule_progress_checks(&mut self, now: Micros, id: ConnId) {
        let Some(conn) = self.table.conn(id) else { return };
        let Some(standing) = conn.established.as_ref().filter(|s| s.is_carrying()) else { return };
        let held = self.tolerances.max_line_hold;
        let due = [
            (Check::ToNode, conn.to_node.waiting().map(|t| t + held)),
            (Check::ToClient, conn.to_client.waiting().map(|t| t + held)),
            (Check::Silent, standing.silent_since.map(|t| t + self.tolerances.max_silence)),
        ];
        for (check, at) in due {
            // What is past was looked at and let pass; it comes again when it moves on.
            if let Some(at) = at.filter(|at| *at > now) {
                self.table.schedule(at, id, check);
            }
        }
    }

    // Requests and attempts.

    fn on_request(&mut self, now: Micros, by: BalancerId, ask: &RequestLine, left: Micros) {
        let mut conn = Conn::new(by, Request::new(now + left, ask.previous_node.is_some()));
        conn.trace.note(now, What::Asked { left_ms: u32::try_from(left / 1_000).unwrap_or(u32::MAX) });
        self.verdict.counts.taken += u64::from(self.table.open(ask.conn, conn));
    }

    /// An attempt begins; `first` is when its first byte was seen.
    fn on_attempt(
        &mut self,
        now: Micros,
        first: Micros,
        by: BalancerId,
        link: LinkId,
        node: NodeId,
        id: ConnId,
    ) {
        let tolerances = &self.tolerances;
        let off = self.notified_lists.unavailable_since(first, by, node, tolerances);
        let named = self.notified_lists.has_listed(by, node);
        let of_node = self.nodes.node_mut(node);
        let knew = of_node
            .started
            .is_some_and(|at| self.notified_lists.knows_of_start(first, by, node, at, tolerances));
        let mut case = Case { reason: Reason::SentAfterEnd, at: now, by, conn: Some(id), node: Some(node) };
        let Some(conn) = self.table.conn(id).filter(|c| c.by == by) else {
            return self.verdict.record(case, String::from("nobody waits under this id"), Vec::new);
        };
        conn.trace.note(now, What::Linked(node));
        // A dead balancer's last words are read late; it is judged no more.
        if let Some(told) =
            off.filter(|told| first > told + tolerances.drain_grace && !conn.is_closed_to_findings)
        {
            case.reason = Reason::SentToDraining;
            let detail = format!("{} after it was told at {}", secs(first - told), secs(told));
            self.verdict.record(case, detail, || together([&conn.trace, &of_node.trace]));
        } else if !(named || conn.is_closed_to_findings || conn.request.is_carried_over) {
            case.reason = Reason::Unlisted;
            self.verdict.record(case, String::from("in its present life"), || together([&conn.trace]));
        }
        self.verdict.counts.attempts += 1;
        let over = conn.is_over(now, tolerances.propagation_delay);
        let many = conn.request.count_attempt(now, tolerances);
        let second = conn.request.begin_attempt(now, link);
        let finding = if over {
            Some(Finding::RuleViolation(Reason::SentAfterEnd, now, format!("to node {}", node.0)))
        } else if second && tolerances.allowed_overlap == 0 {
            conn.request.check_duplicate(link, now)
        } else {
            many
        };
        self.table.link(by, link, Link::new(id, node, knew));
        match finding {
            Some(finding) => self.record_finding(id, finding),
            None if second => self.table.schedule(
                now + self.tolerances.allowed_overlap,
                id,
                Check::DuplicateAttempt(link, now),
            ),
            None => {}
        }
    }

    fn knew_of_start(&mut self, now: Micros, by: BalancerId, link: LinkId, node: NodeId) -> bool {
        match (self.table.link_of(by, link), self.nodes.node_mut(node).started) {
            (Some(link), _) => link.knew_of_start,
            (None, Some(started)) => {
                self.notified_lists.knows_of_start(now, by, node, started, &self.tolerances)
            }
            (None, None) => false,
        }
    }

    /// It stood when the run began.
    fn on_already_established(
        &mut self,
        now: Micros,
        by: BalancerId,
        id: ConnId,
        link: LinkId,
        node: NodeId,
    ) {
        let mut conn = Conn::new(by, Request::new(now, true));
        conn.request.mark_established(now, link);
        conn.established = Some(EstablishedConnection::new(link, node));
        conn.trace.note(now, What::Stands(node));
        if self.table.open(id, conn) {
            self.table.link(by, link, Link { up: true, ..Link::new(id, node, false) });
        }
    }

    /// Its machine never took the connection.
    fn on_connection_refused(&mut self, now: Micros, id: ConnId) {
        if self.table.conn(id).is_some_and(|c| c.is_awaiting_answer()) {
            self.verdict.counts.taken -= 1;
            self.close_without_judgement(now, id);
        }
    }

    fn on_answer(&mut self, now: Micros, by: BalancerId, id: ConnId, answer: Answer) {
        let made = match answer {
            Answer::Up(link) => self.table.link_of(by, link).filter(|l| l.conn == id && l.up).cloned(),
            _ => None,
        };
        let Some(conn) = self.table.conn(id).filter(|c| c.by == by) else {
            if let Answer::Up(_) | Answer::Forged = answer {
                let case = Case { reason: Reason::Forged, at: now, by, conn: Some(id), node: None };
                self.verdict.record(case, String::from("no request is known under this id"), Vec::new);
            }
            return;
        };
        conn.trace.note(now, What::answered(answer));
        if conn.is_misbehaving {
            if let Answer::Up(_) | Answer::Forged = answer {
                self.record_finding(id, Finding::RuleViolation(Reason::ServedBad, now, String::new()));
            }
            return;
        }
        if let (Some(standing), Answer::Move) = (conn.established.as_mut(), answer) {
            self.verdict.counts.moves += u64::from(!standing.migrated);
            standing.migrated = true;
            return self.table.schedule_forget(now, id);
        }
        // It crossed with the client's end.
        if conn.client_closed.is_some() && conn.request.answered_at.is_none() {
            return;
        }
        let finding = match (answer, &made) {
            (Answer::Up(_) | Answer::Forged, None) => {
                conn.request.answered_at = conn.request.answered_at.or(Some(now));
                Some(Finding::RuleViolation(Reason::Forged, now, String::from("no node said UP for it")))
            }
            _ => conn.request.on_answer(now, &self.tolerances),
        };
        match answer {
            Answer::Up(_) | Answer::Forged => self.verdict.counts.up += 1,
            Answer::Busy(_) => self.verdict.counts.busy += 1,
            Answer::Err | Answer::Move | Answer::Other => self.verdict.counts.failed += 1,
        }
        if let (Answer::Up(link), Some(made), None) = (answer, made, &conn.established) {
            let mut standing = EstablishedConnection::new(link, made.node);
            (standing.closed_by_node, standing.closed_by_balancer) =
                (made.closed_by_node, made.closed_by_balancer);
            let (node_ended, severed) = (standing.closed_by_node, standing.closed_by_balancer);
            conn.established = Some(standing);
            let held = self.tolerances.max_line_hold;
            node_ended
                .into_iter()
                .for_each(|t| self.table.schedule(t.max(now) + held, id, Check::ClosedByNode));
            severed
                .into_iter()
                .for_each(|t| self.table.schedule(t.max(now) + held, id, Check::ClosedByBalancer));
            self.schedule_progress_checks(now, id);
        } else if conn.established.is_none() {
            self.table.schedule_forget(now, id);
        }
        if let Some(finding) = finding {
            self.record_finding(id, finding);
        }
    }

    fn on_node_message(&mut self, now: Micros, by: BalancerId, id: LinkId, word: NodeMessage) {
        let Some((link, conn)) = self.table.link_and_conn(by, id) else { return };
        let of = link.conn;
        match word {
            NodeMessage::Up => link.up = true,
            NodeMessage::Busy | NodeMessage::Err | NodeMessage::Move | NodeMessage::Bye => {
                conn.request.end_attempt(id);
            }
            // Nonsense in place of an answer ends the attempt, too.
            NodeMessage::Junk if !link.up => conn.request.end_attempt(id),
            NodeMessage::Load(_)
            | NodeMessage::Delay(_)
            | NodeMessage::Reply
            | NodeMessage::Pong
            | NodeMessage::Junk => {
                // Lines of a standing connection: they would crowd out what tells.
                if self.tolerances.lines {
                    conn.to_client.enter(now);
                } else if let Some(standing) = &mut conn.established {
                    standing.silent_since = None;
                }
                return self.schedule_progress_checks(now, of);
            }
        }
        conn.trace.note(now, What::node_message(link.node, word));
    }

    fn on_node_closed(&mut self, now: Micros, by: BalancerId, id: LinkId, end: End) {
        let Some((link, conn)) = self.table.link_and_conn(by, id) else { return };
        link.closed_by_node = link.closed_by_node.or(Some(now));
        conn.request.end_attempt(id);
        conn.trace.note(now, What::NodeEnded(link.node, end));
        let of = link.conn;
        if let Some(standing) = conn.established.as_mut().filter(|s| s.link == id && s.is_carrying()) {
            standing.closed_by_node = Some(now);
            self.table.schedule(now + self.tolerances.max_line_hold, of, Check::ClosedByNode);
        }
    }

    fn on_balancer_closed_link(&mut self, now: Micros, by: BalancerId, id: LinkId, end: End) {
        let Some((link, conn)) = self.table.link_and_conn(by, id) else { return };
        link.closed_by_balancer = link.closed_by_balancer.or(Some(now));
        conn.request.end_attempt(id);
        conn.trace.note(now, What::LinkEnded(link.node, end));
        let of = link.conn;
        if let Some(standing) = conn.established.as_mut().filter(|s| s.link == id && s.is_carrying()) {
            standing.closed_by_balancer = standing.closed_by_balancer.or(Some(now));
            self.table.schedule(now + self.tolerances.max_line_hold, of, Check::ClosedByBalancer);
        }
    }

    // Connections.

    /// It was no part of its process's end, or of one that makes no difference.
    fn confirm_deferred_finding(&mut self, id: ConnId) {
        if let Some(finding) = self.table.conn(id).and_then(|c| c.deferred_finding.take()) {
            self.record_finding(id, *finding);
        }
    }

    /// Nothing is left of a process: what its connections still show was on its way.
    fn close_without_judgement(&mut self, now: Micros, id: ConnId) {
        if let Some(conn) = self.table.conn(id) {
            conn.is_closed_to_findings = true;
            conn.client_cut_off = conn.client_cut_off.or(Some(now));
            self.table.schedule_forget(now, id);
        }
    }
}
