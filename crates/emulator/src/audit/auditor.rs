//! The auditor itself: passes each observation to the parts that it concerns and records their findings in the verdict.

mod connections;

use super::established::EstablishedConnection;
use super::lists::NotifiedLists;
use super::nodes::{Nodes, Overload};
use super::request::{Finding, Request, RequestEnd};
use super::table::{Check, Conn, Link, Table};
use super::tolerances::AuditTolerances;
use super::trace::{TraceEvent, format_seconds, merge_traces};
use super::verdict::{Case, Exemption, Reason, Verdict};
use super::{Corruption, Observation};
use crate::day::Day;
use crate::edge::{
    Answer, BalancerId, ConnId, End, FromBalancer, LinkId, NodeId, NodeMessage, RequestLine, ToBalancer,
};
use shorewharf_units::Micros;

/// Checks the rules during a run. It takes observations in order of time and gives its verdict at the end.
#[derive(Debug)]
pub struct Auditor {
    tolerances: AuditTolerances,
    notified_lists: NotifiedLists,
    nodes: Nodes,
    table: Table,
    /// Whether each balancer has been sent SIGTERM, by the balancer's index.
    terminating: Vec<bool>,
    /// Time of the last observation.
    now: Micros,
    verdict: Verdict,
}

impl Auditor {
    /// Creates an auditor for one run of a day.
    pub fn new(day: &Day, tolerances: AuditTolerances) -> Self {
        Auditor {
            tolerances,
            notified_lists: NotifiedLists::default(),
            nodes: Nodes::default(),
            table: Table::default(),
            terminating: vec![false; day.balancers.len()],
            now: 0,
            verdict: Verdict::default(),
        }
    }

    /// Processes an observation. If its time is before that of the previous observation, it is processed at the time of
    /// the previous one: on sockets, planned events are reported a little after they were due, and data that was read
    /// meanwhile is reported before them.
    pub fn observe(&mut self, now: Micros, observation: Observation<'_>) {
        let now = now.max(self.now);
        self.now = now;
        self.run_due_checks(now);
        match observation {
            Observation::Input(balancer, input) => self.on_input(now, balancer, input),
            Observation::Output(balancer, output) => self.on_output(now, balancer, output),
            Observation::Listed(entry) => {
                self.notified_lists.on_listed(now, entry);
                self.nodes.node_mut(entry.node).trace.push(now, TraceEvent::Listed(entry.stage));
            }
            Observation::NodeHealth(node, health) => self.nodes.set_health(now, node, health),
            Observation::AttemptArrived { balancer, link, node, weight, cold } => {
                let knew_of_start = self.knew_of_start(now, balancer, link, node);
                if let Some(overload) = self.nodes.on_attempt(
                    now,
                    (node, balancer),
                    (weight, cold),
                    knew_of_start,
                    &self.tolerances,
                ) {
                    self.record_overload(now, node, overload);
                }
            }
            Observation::AttemptSent { balancer, link, node, conn, first } => {
                self.on_attempt(now, first, balancer, link, node, conn);
            }
            Observation::AlreadyEstablished { balancer, conn, link, node } => {
                self.on_already_established(now, balancer, conn, link, node);
            }
            Observation::NotReestablished(balancer, id) => {
                let case = Case { reason: Reason::NotCarried, at: now, balancer, conn: Some(id), node: None };
                self.verdict.record(case, String::new(), Vec::new);
            }
            Observation::LineDelivered(conn, direction) => self.on_line_delivered(now, conn, direction),
            Observation::Corrupted(conn, corruption) => {
                let reason = match corruption {
                    Corruption::MoveInLine => Reason::MoveInLine,
                    Corruption::Changed => Reason::LineChanged,
                };
                self.record_finding(conn, Finding::RuleViolation(reason, now, String::new()));
            }
            Observation::MisbehavingClient(balancer, id) => {
                self.table.open(id, Conn::new(balancer, Request::new(Micros::MAX / 2, false)));
                if let Some(conn) = self.table.conn(id) {
                    conn.is_misbehaving = true;
                }
            }
        }
    }

    /// The verdict so far. Its violations are not sorted by time yet.
    pub fn verdict(&self) -> &Verdict {
        &self.verdict
    }

    /// The number of connections that are tracked now.
    pub fn tracked_connections(&self) -> usize {
        self.table.len()
    }

    /// Ends the run and returns the verdict.
    pub fn finish(mut self, now: Micros) -> Verdict {
        let now = now.max(self.now);
        self.run_due_checks(now);
        for id in self.table.ids(None) {
            self.confirm_deferred_finding(id);
            self.check_unanswered(now, id, RequestEnd::RunEnded);
        }
        self.verdict.sort_violations();
        self.verdict
    }

    fn on_input(&mut self, now: Micros, balancer: BalancerId, input: &ToBalancer) {
        match input {
            ToBalancer::Start { known, .. } => {
                *self.terminating_mut(balancer) = false;
                self.notified_lists.on_start(now, balancer, known);
            }
            ToBalancer::Kill => self.on_killed(now, balancer),
            ToBalancer::Terminate => *self.terminating_mut(balancer) = true,
            ToBalancer::Reload { .. } => self.notified_lists.on_reload(now, balancer),
            ToBalancer::Request { request, remaining } => {
                self.on_request(now, balancer, request, *remaining);
            }
            ToBalancer::ClientLine(id) => self.on_client_line(now, *id),
            ToBalancer::ClientEnded(id, end) => self.on_client_closed(now, *id, *end),
            ToBalancer::LinkUp(id) => {
                if let Some((link, conn)) = self.table.link_and_conn(balancer, *id) {
                    conn.trace.push(now, TraceEvent::LinkUp(link.node));
                }
            }
            ToBalancer::LinkFailed(id) => {
                if let Some((link, conn)) = self.table.link_and_conn(balancer, *id) {
                    link.closed_by_balancer = Some(now);
                    conn.request.end_attempt(*id);
                    conn.trace.push(now, TraceEvent::LinkFailed(link.node));
                }
            }
            ToBalancer::NodeMessage(link, message) => self.on_node_message(now, balancer, *link, *message),
            ToBalancer::NodeEnded(link, end) => self.on_node_closed(now, balancer, *link, *end),
            ToBalancer::List { full, entries } => {
                self.notified_lists.on_endpoint_list(now, balancer, *full, entries);
            }
            ToBalancer::ListFailed => self.notified_lists.on_poll_failed(now, balancer),
        }
    }

    fn on_output(&mut self, now: Micros, balancer: BalancerId, output: &FromBalancer) {
        match *output {
            FromBalancer::Answer(id, answer) => self.on_answer(now, balancer, id, answer),
            FromBalancer::EndClient(id, end) => self.on_balancer_closed_client(now, balancer, id, end),
            // On sockets the attempt may already have been reported as `Observation::AttemptSent`.
            FromBalancer::Link { link, node, conn: Some(conn) } => {
                if self.table.link_of(balancer, link).is_none_or(|l| l.conn != conn) {
                    self.on_attempt(now, now, balancer, link, node, conn);
                }
            }
            FromBalancer::EndLink(link, end) => self.on_balancer_closed_link(now, balancer, link, end),
            FromBalancer::Watch => self.notified_lists.on_watch(now, balancer),
            FromBalancer::Unwatch => self.notified_lists.on_unwatch(now, balancer),
            FromBalancer::ConnectionRefused(id) => self.on_connection_refused(now, id),
            FromBalancer::MalformedRequest(node) => {
                let case = Case { reason: Reason::Syntax, at: now, balancer, conn: None, node: Some(node) };
                self.verdict.record(case, String::new(), Vec::new);
            }
            FromBalancer::Exited => self.on_exited(now, balancer),
            FromBalancer::Link { conn: None, .. }
            | FromBalancer::Forward { .. }
            | FromBalancer::Probe(_)
            | FromBalancer::Pass(_)
            | FromBalancer::Ready => {}
        }
    }

    fn terminating_mut(&mut self, balancer: BalancerId) -> &mut bool {
        let index = balancer.0 as usize;
        if self.terminating.len() <= index {
            self.terminating.resize(index + 1, false);
        }
        &mut self.terminating[index]
    }

    // Findings.

    fn record_finding(&mut self, id: ConnId, finding: Finding) {
        let Some(conn) = self.table.conn(id) else { return };
        if conn.is_closed_to_findings {
            return;
        }
        match finding {
            Finding::Exempted(exemption) => self.verdict.exempt(exemption),
            Finding::RuleViolation(reason, at, detail) => {
                conn.is_closed_to_findings = true;
                let node = conn.established.as_ref().map(|s| s.node);
                let case = Case { reason, at, balancer: conn.balancer, conn: Some(id), node };
                let node_trace = node.map(|n| &self.nodes.node_mut(n).trace);
                self.verdict
                    .record(case, detail, || merge_traces([&conn.trace].into_iter().chain(node_trace)));
            }
        }
    }

    /// Checks a request that can get no answer any more, if it has none yet.
    fn check_unanswered(&mut self, now: Micros, id: ConnId, end: RequestEnd) {
        let Some(conn) = self.table.conn(id).filter(|c| c.is_awaiting_answer() && !c.is_misbehaving) else {
            return;
        };
        if let Some(finding) = conn.request.check_unanswered(now, end, &self.tolerances) {
            self.record_finding(id, finding);
        }
    }

    fn record_overload(&mut self, now: Micros, node: NodeId, overload: Overload) {
        if !overload.is_attributable() {
            return self.verdict.exempt(Exemption::PushedOverUnknowing);
        }
        let shares: Vec<String> =
            overload.shares.iter().map(|(b, sent)| format!("{}: {sent:.3}", b.0)).collect();
        let detail = format!(
            "sent {:.3} where at most {:.3} is allowed, {:.3} by balancers that knew of the start; by balancer {}",
            overload.sent,
            overload.budget,
            overload.known_weight,
            shares.join(", ")
        );
        let case = Case {
            reason: Reason::PushedOver,
            at: now,
            balancer: overload.balancer,
            conn: None,
            node: Some(node),
        };
        let trace = &self.nodes.node_mut(node).trace;
        self.verdict.record(case, detail, || merge_traces([trace]));
    }

    /// Runs the checks that were due before `now`.
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
                (Check::ToNode, Some(s)) => {
                    s.check_line_held(at, conn.to_node.waiting_since(), &self.tolerances)
                }
                (Check::ToClient, Some(s)) => {
                    s.check_line_held(at, conn.to_client.waiting_since(), &self.tolerances)
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

    /// Schedules the checks for held lines and for silence, which later traffic can make unnecessary.
    fn schedule_progress_checks(&mut self, now: Micros, id: ConnId) {
        let Some(conn) = self.table.conn(id) else { return };
        let Some(established) = conn.established.as_ref().filter(|s| s.is_carrying()) else { return };
        let max_hold = self.tolerances.max_line_hold;
        let due = [
            (Check::ToNode, conn.to_node.waiting_since().map(|t| t + max_hold)),
            (Check::ToClient, conn.to_client.waiting_since().map(|t| t + max_hold)),
            (Check::Silent, established.silent_since.map(|t| t + self.tolerances.max_silence)),
        ];
        for (check, at) in due {
            // A time in the past has already been checked; the check is scheduled again after further traffic.
            if let Some(at) = at.filter(|at| *at > now) {
                self.table.schedule(at, id, check);
            }
        }
    }

    // Requests and attempts.

    fn on_request(&mut self, now: Micros, balancer: BalancerId, request: &RequestLine, remaining: Micros) {
        let mut conn = Conn::new(balancer, Request::new(now + remaining, request.previous_node.is_some()));
        conn.trace.push(
            now,
            TraceEvent::ClientRequest { left_ms: u32::try_from(remaining / 1_000).unwrap_or(u32::MAX) },
        );
        self.verdict.counts.taken += u64::from(self.table.open(request.conn, conn));
    }

    /// An attempt was sent; its first byte was read at `first`.
    fn on_attempt(
        &mut self,
        now: Micros,
        first: Micros,
        balancer: BalancerId,
        link: LinkId,
        node: NodeId,
        id: ConnId,
    ) {
        let tolerances = &self.tolerances;
        let unavailable_since = self.notified_lists.unavailable_since(first, balancer, node, tolerances);
        let was_listed = self.notified_lists.has_listed(balancer, node);
        let node_state = self.nodes.node_mut(node);
        let knew_of_start = node_state
            .started
            .is_some_and(|at| self.notified_lists.knows_of_start(first, balancer, node, at, tolerances));
        let mut case =
            Case { reason: Reason::SentAfterEnd, at: now, balancer, conn: Some(id), node: Some(node) };
        let Some(conn) = self.table.conn(id).filter(|c| c.balancer == balancer) else {
            return self.verdict.record(case, String::from("no request is known under this id"), Vec::new);
        };
        conn.trace.push(now, TraceEvent::LinkStarted(node));
        // Data that a dead balancer sent may be read late; it gives no findings.
        if let Some(notified_at) =
            unavailable_since.filter(|at| first > at + tolerances.drain_grace && !conn.is_closed_to_findings)
        {
            case.reason = Reason::SentToDraining;
            let detail = format!(
                "{} after it was notified at {}",
                format_seconds(first - notified_at),
                format_seconds(notified_at)
            );
            self.verdict.record(case, detail, || merge_traces([&conn.trace, &node_state.trace]));
        } else if !(was_listed || conn.is_closed_to_findings || conn.request.is_carried_over) {
            case.reason = Reason::Unlisted;
            self.verdict
                .record(case, String::from("since its process started"), || merge_traces([&conn.trace]));
        }
        self.verdict.counts.attempts += 1;
        let is_over = conn.is_over(now, tolerances.propagation_delay);
        let too_many = conn.request.count_attempt(now, tolerances);
        let overlaps = conn.request.begin_attempt(now, link);
        let finding = if is_over {
            Some(Finding::RuleViolation(Reason::SentAfterEnd, now, format!("to node {}", node.0)))
        } else if overlaps && tolerances.allowed_overlap == 0 {
            conn.request.check_duplicate(link, now)
        } else {
            too_many
        };
        self.table.add_link(balancer, link, Link::new(id, node, knew_of_start));
        match finding {
            Some(finding) => self.record_finding(id, finding),
            None if overlaps => self.table.schedule(
                now + self.tolerances.allowed_overlap,
                id,
                Check::DuplicateAttempt(link, now),
            ),
            None => {}
        }
    }

    /// Whether the balancer knew of the node's start when it sent the attempt on this link.
    fn knew_of_start(&mut self, now: Micros, balancer: BalancerId, link: LinkId, node: NodeId) -> bool {
        match (self.table.link_of(balancer, link), self.nodes.node_mut(node).started) {
            (Some(link), _) => link.knew_of_start,
            (None, Some(started)) => {
                self.notified_lists.knows_of_start(now, balancer, node, started, &self.tolerances)
            }
            (None, None) => false,
        }
    }

    /// A connection was established before the run began.
    fn on_already_established(
        &mut self,
        now: Micros,
        balancer: BalancerId,
        id: ConnId,
        link: LinkId,
        node: NodeId,
    ) {
        let mut conn = Conn::new(balancer, Request::new(now, true));
        conn.request.mark_established(now, link);
        conn.established = Some(EstablishedConnection::new(link, node));
        conn.trace.push(now, TraceEvent::AlreadyEstablished(node));
        if self.table.open(id, conn) {
            self.table.add_link(balancer, link, Link { up: true, ..Link::new(id, node, false) });
        }
    }

    /// The balancer's machine never accepted the connection.
    fn on_connection_refused(&mut self, now: Micros, id: ConnId) {
        if self.table.conn(id).is_some_and(|c| c.is_awaiting_answer()) {
            self.verdict.counts.taken -= 1;
            self.close_without_check(now, id);
        }
    }

    fn on_answer(&mut self, now: Micros, balancer: BalancerId, id: ConnId, answer: Answer) {
        let answered_link = match answer {
            Answer::Up(link) => self.table.link_of(balancer, link).filter(|l| l.conn == id && l.up).cloned(),
            _ => None,
        };
        let Some(conn) = self.table.conn(id).filter(|c| c.balancer == balancer) else {
            if let Answer::Up(_) | Answer::Forged = answer {
                let case = Case { reason: Reason::Forged, at: now, balancer, conn: Some(id), node: None };
                self.verdict.record(case, String::from("no request is known under this id"), Vec::new);
            }
            return;
        };
        conn.trace.push(now, TraceEvent::answered(answer));
        if conn.is_misbehaving {
            if let Answer::Up(_) | Answer::Forged = answer {
                self.record_finding(id, Finding::RuleViolation(Reason::ServedBad, now, String::new()));
            }
            return;
        }
        if let (Some(established), Answer::Move) = (conn.established.as_mut(), answer) {
            self.verdict.counts.moves += u64::from(!established.migrated);
            established.migrated = true;
            return self.table.schedule_forget(now, id);
        }
        // The answer was sent before the balancer could learn that the client had closed the connection.
        if conn.client_closed.is_some() && conn.request.answered_at.is_none() {
            return;
        }
        let finding = match (answer, &answered_link) {
            (Answer::Up(_) | Answer::Forged, None) => {
                conn.request.answered_at = conn.request.answered_at.or(Some(now));
                Some(Finding::RuleViolation(Reason::Forged, now, String::from("no node sent UP for it")))
            }
            _ => conn.request.on_answer(now, &self.tolerances),
        };
        match answer {
            Answer::Up(_) | Answer::Forged => self.verdict.counts.up += 1,
            Answer::Busy(_) => self.verdict.counts.busy += 1,
            Answer::Err | Answer::Move | Answer::Other => self.verdict.counts.failed += 1,
        }
        if let (Answer::Up(link), Some(answered_link), None) = (answer, answered_link, &conn.established) {
            let mut established = EstablishedConnection::new(link, answered_link.node);
            (established.closed_by_node, established.closed_by_balancer) =
                (answered_link.closed_by_node, answered_link.closed_by_balancer);
            let (by_node, by_balancer) = (established.closed_by_node, established.closed_by_balancer);
            conn.established = Some(established);
            let max_hold = self.tolerances.max_line_hold;
            by_node
                .into_iter()
                .for_each(|t| self.table.schedule(t.max(now) + max_hold, id, Check::ClosedByNode));
            by_balancer
                .into_iter()
                .for_each(|t| self.table.schedule(t.max(now) + max_hold, id, Check::ClosedByBalancer));
            self.schedule_progress_checks(now, id);
        } else if conn.established.is_none() {
            self.table.schedule_forget(now, id);
        }
        if let Some(finding) = finding {
            self.record_finding(id, finding);
        }
    }

    fn on_node_message(&mut self, now: Micros, balancer: BalancerId, id: LinkId, message: NodeMessage) {
        let Some((link, conn)) = self.table.link_and_conn(balancer, id) else { return };
        let conn_id = link.conn;
        match message {
            NodeMessage::Up => link.up = true,
            NodeMessage::Busy | NodeMessage::Err | NodeMessage::Move | NodeMessage::Bye => {
                conn.request.end_attempt(id);
            }
            // An invalid line in place of an answer ends the attempt, too.
            NodeMessage::Junk if !link.up => conn.request.end_attempt(id),
            NodeMessage::Load(_)
            | NodeMessage::Delay(_)
            | NodeMessage::Reply
            | NodeMessage::Pong
            | NodeMessage::Junk => {
                // Lines of an established connection are not traced: they would displace the events that matter.
                if self.tolerances.observes_lines {
                    conn.to_client.on_sent(now);
                } else if let Some(established) = &mut conn.established {
                    established.silent_since = None;
                }
                return self.schedule_progress_checks(now, conn_id);
            }
        }
        conn.trace.push(now, TraceEvent::node_message(link.node, message));
    }

    fn on_node_closed(&mut self, now: Micros, balancer: BalancerId, id: LinkId, end: End) {
        let Some((link, conn)) = self.table.link_and_conn(balancer, id) else { return };
        link.closed_by_node = link.closed_by_node.or(Some(now));
        conn.request.end_attempt(id);
        conn.trace.push(now, TraceEvent::LinkClosedByNode(link.node, end));
        let conn_id = link.conn;
        if let Some(established) = conn.established.as_mut().filter(|s| s.link == id && s.is_carrying()) {
            established.closed_by_node = Some(now);
            self.table.schedule(now + self.tolerances.max_line_hold, conn_id, Check::ClosedByNode);
        }
    }

    fn on_balancer_closed_link(&mut self, now: Micros, balancer: BalancerId, id: LinkId, end: End) {
        let Some((link, conn)) = self.table.link_and_conn(balancer, id) else { return };
        link.closed_by_balancer = link.closed_by_balancer.or(Some(now));
        conn.request.end_attempt(id);
        conn.trace.push(now, TraceEvent::LinkClosedByBalancer(link.node, end));
        let conn_id = link.conn;
        if let Some(established) = conn.established.as_mut().filter(|s| s.link == id && s.is_carrying()) {
            established.closed_by_balancer = established.closed_by_balancer.or(Some(now));
            self.table.schedule(now + self.tolerances.max_line_hold, conn_id, Check::ClosedByBalancer);
        }
    }

    // Connections.

    /// Records a connection's deferred finding, as its close was not part of the exit of its process, or as the exit
    /// does not excuse it.
    fn confirm_deferred_finding(&mut self, id: ConnId) {
        if let Some(finding) = self.table.conn(id).and_then(|c| c.deferred_finding.take()) {
            self.record_finding(id, *finding);
        }
    }

    /// Ends a connection without a finding and ignores later ones: its balancer is gone or never accepted it, so what
    /// is still observed was in transit.
    fn close_without_check(&mut self, now: Micros, id: ConnId) {
        if let Some(conn) = self.table.conn(id) {
            conn.is_closed_to_findings = true;
            conn.closed_by_balancer = conn.closed_by_balancer.or(Some(now));
            self.table.schedule_forget(now, id);
        }
    }
}
