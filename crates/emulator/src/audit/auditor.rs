//! Composes the audit: each fact goes to the parts that it concerns, and what they find goes into the verdict.

use super::established::EstablishedConnection;
use super::lists::NotifiedLists;
use super::nodes::{Nodes, Overload};
use super::request::{Finding, Over, Request};
use super::table::{Check, Conn, Link, Table};
use super::tolerances::AuditTolerances;
use super::trace::{What, secs, together};
use super::verdict::{Case, Exemption, Reason, Verdict};
use super::{Corruption, Direction, Observation};
use crate::day::Day;
use crate::edge::{
    Answer, BalancerId, ConnId, End, FromBalancer, LinkId, NodeId, NodeMessage, RequestLine, ToBalancer,
};
use shorewharf_units::Micros;

/// Judges a run as it goes. Feed it what happens in order of time, then ask for its verdict.
#[derive(Debug)]
pub struct Auditor {
    judging: AuditTolerances,
    told: NotifiedLists,
    nodes: Nodes,
    table: Table,
    /// By balancer: SIGTERM has gone to it.
    leaving: Vec<bool>,
    /// The time of the last fact.
    now: Micros,
    verdict: Verdict,
}

impl Auditor {
    /// An auditor of one run of this day.
    pub fn new(day: &Day, judging: AuditTolerances) -> Self {
        let leaving = vec![false; day.balancers.len()];
        let (told, nodes, table) = (NotifiedLists::default(), Nodes::default(), Table::default());
        Auditor { judging, told, nodes, table, leaving, now: 0, verdict: Verdict::default() }
    }

    /// Takes a fact in. Time does not go back: on sockets what the world planned is told a little after it was due, and
    /// what was read meanwhile came first.
    pub fn see(&mut self, now: Micros, seen: Observation<'_>) {
        let now = now.max(self.now);
        self.now = now;
        self.looks(now);
        match seen {
            Observation::To(by, to) => self.comes(now, by, to),
            Observation::From(by, from) => self.does(now, by, from),
            Observation::Listed(entry) => {
                self.told.listed(now, entry);
                self.nodes.of(entry.node).ring.note(now, What::Listed(entry.stage));
            }
            Observation::Node(node, health) => self.nodes.is(now, node, health),
            Observation::Reached { by, link, node, weight, cold } => {
                let knew = self.knew(now, by, link, node);
                if let Some(pushed) = self.nodes.reached(now, (node, by), (weight, cold), knew, &self.judging)
                {
                    self.pushed_over(now, node, pushed);
                }
            }
            Observation::Sent { by, link, node, conn, first } => {
                self.begins(now, first, by, link, node, conn)
            }
            Observation::Stands { by, conn, link, node } => self.stands(now, by, conn, link, node),
            Observation::Missed(by, id) => {
                let case = Case { reason: Reason::NotCarried, at: now, by, conn: Some(id), node: None };
                self.verdict.add(case, String::new(), Vec::new);
            }
            Observation::Passed(conn, way) => self.passed(now, conn, way),
            Observation::Garbled(conn, garble) => {
                let reason = match garble {
                    Corruption::MoveInLine => Reason::MoveInLine,
                    Corruption::Changed => Reason::LineChanged,
                };
                self.found(conn, Finding::RuleViolation(reason, now, String::new()));
            }
            Observation::Bad(by, id) => {
                self.table.open(id, Conn::new(by, Request::new(Micros::MAX / 2, false)));
                if let Some(conn) = self.table.conn(id) {
                    conn.bad = true;
                }
            }
        }
    }

    /// Breaks so far.
    pub fn verdict(&self) -> &Verdict {
        &self.verdict
    }

    /// Connections that are remembered now.
    pub fn remembered(&self) -> usize {
        self.table.len()
    }

    /// The run is over.
    pub fn finish(mut self, now: Micros) -> Verdict {
        let now = now.max(self.now);
        self.looks(now);
        for id in self.table.ids(None) {
            self.no_doubt(id);
            self.unanswered(now, id, Over::End);
        }
        self.verdict.settle();
        self.verdict
    }

    fn comes(&mut self, now: Micros, by: BalancerId, to: &ToBalancer) {
        match to {
            ToBalancer::Start { known, .. } => {
                *self.leaving(by) = false;
                self.told.started(now, by, known);
            }
            ToBalancer::Kill => self.killed(now, by),
            ToBalancer::Terminate => *self.leaving(by) = true,
            ToBalancer::Reload { .. } => self.told.reloaded(now, by),
            ToBalancer::Asked { ask, left } => self.asked(now, by, ask, *left),
            ToBalancer::ClientLine(id) => self.client_line(now, *id),
            ToBalancer::ClientEnded(id, end) => self.client_ended(now, *id, *end),
            ToBalancer::LinkUp(id) => {
                if let Some((link, conn)) = self.table.both(by, *id) {
                    conn.ring.note(now, What::LinkUp(link.node));
                }
            }
            ToBalancer::LinkFailed(id) => {
                if let Some((link, conn)) = self.table.both(by, *id) {
                    link.ended = Some(now);
                    conn.request.comes_in(*id);
                    conn.ring.note(now, What::LinkFailed(link.node));
                }
            }
            ToBalancer::NodeSays(link, word) => self.node_says(now, by, *link, *word),
            ToBalancer::NodeEnded(link, end) => self.node_ended(now, by, *link, *end),
            ToBalancer::List { full, entries } => self.told.told(now, by, *full, entries),
            ToBalancer::ListFailed => self.told.failed(now, by),
        }
    }

    fn does(&mut self, now: Micros, by: BalancerId, from: &FromBalancer) {
        match *from {
            FromBalancer::Answer(id, answer) => self.answers(now, by, id, answer),
            FromBalancer::EndClient(id, end) => self.cuts(now, by, id, end),
            // On sockets it may follow what was told of it as sent.
            FromBalancer::Link { link, node, conn: Some(conn) } => {
                if self.table.link_of(by, link).is_none_or(|l| l.conn != conn) {
                    self.begins(now, now, by, link, node, conn);
                }
            }
            FromBalancer::EndLink(link, end) => self.ends_link(now, by, link, end),
            FromBalancer::Watch => self.told.asks(now, by),
            FromBalancer::Unwatch => self.told.unwatches(now, by),
            FromBalancer::Refused(id) => self.refused(now, id),
            FromBalancer::Syntax(node) => {
                let case = Case { reason: Reason::Syntax, at: now, by, conn: None, node: Some(node) };
                self.verdict.add(case, String::new(), Vec::new);
            }
            FromBalancer::Exited => self.exited(now, by),
            FromBalancer::Link { conn: None, .. }
            | FromBalancer::Forward { .. }
            | FromBalancer::Probe(_)
            | FromBalancer::Pass(_)
            | FromBalancer::Ready => {}
        }
    }

    fn leaving(&mut self, by: BalancerId) -> &mut bool {
        let place = by.0 as usize;
        if self.leaving.len() <= place {
            self.leaving.resize(place + 1, false);
        }
        &mut self.leaving[place]
    }

    // What is found.

    fn found(&mut self, id: ConnId, finding: Finding) {
        let Some(conn) = self.table.conn(id) else { return };
        if conn.judged {
            return;
        }
        match finding {
            Finding::Let(why) => self.verdict.excuse(why),
            Finding::RuleViolation(reason, at, detail) => {
                conn.judged = true;
                let node = conn.standing.as_ref().map(|s| s.node);
                let case = Case { reason, at, by: conn.by, conn: Some(id), node };
                let of_node = node.map(|n| &self.nodes.of(n).ring);
                self.verdict.add(case, detail, || together([&conn.ring].into_iter().chain(of_node)));
            }
        }
    }

    fn unanswered(&mut self, now: Micros, id: ConnId, how: Over) {
        let Some(conn) = self.table.conn(id).filter(|c| c.waits() && !c.bad) else { return };
        if let Some(finding) = conn.request.over(now, how, &self.judging) {
            self.found(id, finding);
        }
    }

    fn pushed_over(&mut self, now: Micros, node: NodeId, pushed: Overload) {
        if !pushed.knowingly() {
            return self.verdict.excuse(Exemption::PushedOverUnknowing);
        }
        let shares: Vec<String> =
            pushed.shares.iter().map(|(b, sent)| format!("{}: {sent:.3}", b.0)).collect();
        let detail = format!(
            "sent {:.3} where {:.3} would have been borne, {:.3} of it knowingly; by balancer {}",
            pushed.sent,
            pushed.budget,
            pushed.knew,
            shares.join(", ")
        );
        let case = Case { reason: Reason::PushedOver, at: now, by: pushed.by, conn: None, node: Some(node) };
        let ring = &self.nodes.of(node).ring;
        self.verdict.add(case, detail, || together([ring]));
    }

    /// Looks at what has fallen due before `now`.
    fn looks(&mut self, now: Micros) {
        while let Some((at, id, look)) = self.table.due(now) {
            let Some(conn) = self.table.conn(id) else { continue };
            if look == Check::Forget {
                self.table.forget(id);
                continue;
            }
            let finding = match (look, conn.standing.as_ref()) {
                (Check::Doubt, _) => conn.doubt.take().map(|f| *f),
                (Check::Copy(link, sent), _) => conn.request.second_copy(link, sent),
                (_, None) => None,
                (Check::ToNode, Some(s)) if !self.nodes.of(s.node).sound_for(at, self.judging.held) => None,
                (Check::ToNode, Some(s)) => s.held_back(at, conn.to_node.waiting(), &self.judging),
                (Check::ToClient, Some(s)) => s.held_back(at, conn.to_client.waiting(), &self.judging),
                (Check::Quiet, Some(s)) => s.silent(at, self.nodes.of(s.node), &self.judging),
                (Check::NodeEnded, Some(s)) => s.outlives(at, &self.judging),
                (Check::Severed, Some(s)) => s.hangs(at, &self.judging),
                (Check::Forget, _) => None,
            };
            match finding {
                Some(finding) => self.found(id, finding),
                None => self.book_moving(at, id),
            }
        }
    }

    /// Books the looks at what may still move on.
    fn book_moving(&mut self, now: Micros, id: ConnId) {
        let Some(conn) = self.table.conn(id) else { return };
        let Some(standing) = conn.standing.as_ref().filter(|s| s.carries()) else { return };
        let held = self.judging.held;
        let due = [
            (Check::ToNode, conn.to_node.waiting().map(|t| t + held)),
            (Check::ToClient, conn.to_client.waiting().map(|t| t + held)),
            (Check::Quiet, standing.quiet.map(|t| t + self.judging.silent)),
        ];
        for (look, at) in due {
            // What is past was looked at and let pass; it comes again when it moves on.
            if let Some(at) = at.filter(|at| *at > now) {
                self.table.book(at, id, look);
            }
        }
    }

    // Requests and attempts.

    fn asked(&mut self, now: Micros, by: BalancerId, ask: &RequestLine, left: Micros) {
        let mut conn = Conn::new(by, Request::new(now + left, ask.home.is_some()));
        conn.ring.note(now, What::Asked { left_ms: u32::try_from(left / 1_000).unwrap_or(u32::MAX) });
        self.verdict.counts.taken += u64::from(self.table.open(ask.conn, conn));
    }

    /// An attempt begins; `first` is when its first byte was seen.
    fn begins(&mut self, now: Micros, first: Micros, by: BalancerId, link: LinkId, node: NodeId, id: ConnId) {
        let judging = &self.judging;
        let off = self.told.off_since(first, by, node, judging);
        let named = self.told.named(by, node);
        let of_node = self.nodes.of(node);
        let knew = of_node.started.is_some_and(|at| self.told.knows_start(first, by, node, at, judging));
        let mut case = Case { reason: Reason::SentAfterEnd, at: now, by, conn: Some(id), node: Some(node) };
        let Some(conn) = self.table.conn(id).filter(|c| c.by == by) else {
            return self.verdict.add(case, String::from("nobody waits under this id"), Vec::new);
        };
        conn.ring.note(now, What::Linked(node));
        // A dead balancer's last words are read late; it is judged no more.
        if let Some(told) = off.filter(|told| first > told + judging.drain_grace && !conn.judged) {
            case.reason = Reason::SentToDraining;
            let detail = format!("{} after it was told at {}", secs(first - told), secs(told));
            self.verdict.add(case, detail, || together([&conn.ring, &of_node.ring]));
        } else if !(named || conn.judged || conn.request.carried) {
            case.reason = Reason::Unlisted;
            self.verdict.add(case, String::from("in its present life"), || together([&conn.ring]));
        }
        self.verdict.counts.attempts += 1;
        let over = conn.over(now, judging.learn);
        let many = conn.request.tried(now, judging);
        let second = conn.request.goes_out(now, link);
        let finding = match over {
            true => Some(Finding::RuleViolation(Reason::SentAfterEnd, now, format!("to node {}", node.0))),
            false if second && judging.overlap == 0 => conn.request.second_copy(link, now),
            false => many,
        };
        self.table.link(by, link, Link::new(id, node, knew));
        match finding {
            Some(finding) => self.found(id, finding),
            None if second => self.table.book(now + self.judging.overlap, id, Check::Copy(link, now)),
            None => {}
        }
    }

    fn knew(&mut self, now: Micros, by: BalancerId, link: LinkId, node: NodeId) -> bool {
        match (self.table.link_of(by, link), self.nodes.of(node).started) {
            (Some(link), _) => link.knew,
            (None, Some(started)) => self.told.knows_start(now, by, node, started, &self.judging),
            (None, None) => false,
        }
    }

    /// It stood when the run began.
    fn stands(&mut self, now: Micros, by: BalancerId, id: ConnId, link: LinkId, node: NodeId) {
        let mut conn = Conn::new(by, Request::new(now, true));
        conn.request.stands(now, link);
        conn.standing = Some(EstablishedConnection::new(link, node));
        conn.ring.note(now, What::Stands(node));
        if self.table.open(id, conn) {
            self.table.link(by, link, Link { up: true, ..Link::new(id, node, false) });
        }
    }

    /// Its machine never took the connection.
    fn refused(&mut self, now: Micros, id: ConnId) {
        if self.table.conn(id).is_some_and(|c| c.waits()) {
            self.verdict.counts.taken -= 1;
            self.dead(now, id);
        }
    }

    fn answers(&mut self, now: Micros, by: BalancerId, id: ConnId, answer: Answer) {
        let made = match answer {
            Answer::Up(link) => self.table.link_of(by, link).filter(|l| l.conn == id && l.up).cloned(),
            _ => None,
        };
        let Some(conn) = self.table.conn(id).filter(|c| c.by == by) else {
            if let Answer::Up(_) | Answer::Forged = answer {
                let case = Case { reason: Reason::Forged, at: now, by, conn: Some(id), node: None };
                self.verdict.add(case, String::from("no request is known under this id"), Vec::new);
            }
            return;
        };
        conn.ring.note(now, What::answered(answer));
        if conn.bad {
            if let Answer::Up(_) | Answer::Forged = answer {
                self.found(id, Finding::RuleViolation(Reason::ServedBad, now, String::new()));
            }
            return;
        }
        if let (Some(standing), Answer::Move) = (conn.standing.as_mut(), answer) {
            self.verdict.counts.moves += u64::from(!standing.moved);
            standing.moved = true;
            return self.table.ends(now, id);
        }
        // It crossed with the client's end.
        if conn.left.is_some() && conn.request.answered.is_none() {
            return;
        }
        let finding = match (answer, &made) {
            (Answer::Up(_) | Answer::Forged, None) => {
                conn.request.answered = conn.request.answered.or(Some(now));
                Some(Finding::RuleViolation(Reason::Forged, now, String::from("no node said UP for it")))
            }
            _ => conn.request.answer(now, &self.judging),
        };
        match answer {
            Answer::Up(_) | Answer::Forged => self.verdict.counts.up += 1,
            Answer::Busy(_) => self.verdict.counts.busy += 1,
            Answer::Err | Answer::Move | Answer::Other => self.verdict.counts.failed += 1,
        }
        if let (Answer::Up(link), Some(made), None) = (answer, made, &conn.standing) {
            let mut standing = EstablishedConnection::new(link, made.node);
            (standing.node_ended, standing.severed) = (made.node_ended, made.ended);
            let (node_ended, severed) = (standing.node_ended, standing.severed);
            conn.standing = Some(standing);
            let held = self.judging.held;
            node_ended.into_iter().for_each(|t| self.table.book(t.max(now) + held, id, Check::NodeEnded));
            severed.into_iter().for_each(|t| self.table.book(t.max(now) + held, id, Check::Severed));
            self.book_moving(now, id);
        } else if conn.standing.is_none() {
            self.table.ends(now, id);
        }
        if let Some(finding) = finding {
            self.found(id, finding);
        }
    }

    fn node_says(&mut self, now: Micros, by: BalancerId, id: LinkId, word: NodeMessage) {
        let Some((link, conn)) = self.table.both(by, id) else { return };
        let of = link.conn;
        match word {
            NodeMessage::Up => link.up = true,
            NodeMessage::Busy | NodeMessage::Err | NodeMessage::Move | NodeMessage::Bye => {
                conn.request.comes_in(id)
            }
            // Nonsense in place of an answer ends the attempt, too.
            NodeMessage::Junk if !link.up => conn.request.comes_in(id),
            NodeMessage::Load(_)
            | NodeMessage::Delay(_)
            | NodeMessage::Reply
            | NodeMessage::Pong
            | NodeMessage::Junk => {
                // Lines of a standing connection: they would crowd out what tells.
                if self.judging.lines {
                    conn.to_client.enter(now);
                } else if let Some(standing) = &mut conn.standing {
                    standing.quiet = None;
                }
                return self.book_moving(now, of);
            }
        }
        conn.ring.note(now, What::said(link.node, word));
    }

    fn node_ended(&mut self, now: Micros, by: BalancerId, id: LinkId, end: End) {
        let Some((link, conn)) = self.table.both(by, id) else { return };
        link.node_ended = link.node_ended.or(Some(now));
        conn.request.comes_in(id);
        conn.ring.note(now, What::NodeEnded(link.node, end));
        let of = link.conn;
        if let Some(standing) = conn.standing.as_mut().filter(|s| s.link == id && s.carries()) {
            standing.node_ended = Some(now);
            self.table.book(now + self.judging.held, of, Check::NodeEnded);
        }
    }

    fn ends_link(&mut self, now: Micros, by: BalancerId, id: LinkId, end: End) {
        let Some((link, conn)) = self.table.both(by, id) else { return };
        link.ended = link.ended.or(Some(now));
        conn.request.comes_in(id);
        conn.ring.note(now, What::LinkEnded(link.node, end));
        let of = link.conn;
        if let Some(standing) = conn.standing.as_mut().filter(|s| s.link == id && s.carries()) {
            standing.severed = standing.severed.or(Some(now));
            self.table.book(now + self.judging.held, of, Check::Severed);
        }
    }

    // Connections.

    fn client_line(&mut self, now: Micros, id: ConnId) {
        let Some(conn) = self.table.conn(id) else { return };
        let Some(standing) = conn.standing.as_mut().filter(|s| s.carries()) else { return };
        standing.quiet = standing.quiet.or(Some(now));
        if self.judging.lines {
            conn.to_node.enter(now);
        }
        self.book_moving(now, id);
    }

    fn passed(&mut self, now: Micros, id: ConnId, way: Direction) {
        let Some(conn) = self.table.conn(id) else { return };
        match way {
            Direction::ToNode => conn.to_node.leave(now),
            Direction::ToClient => {
                conn.to_client.leave(now);
                if let Some(standing) = &mut conn.standing {
                    standing.quiet = None;
                }
            }
        }
        self.book_moving(now, id);
    }

    fn client_ended(&mut self, now: Micros, id: ConnId, end: End) {
        self.unanswered(now, id, Over::ClientLeft);
        let Some(conn) = self.table.conn(id) else { return };
        conn.ring.note(now, What::ClientEnded(end));
        conn.left = conn.left.or(Some(now));
        if let Some(standing) = &mut conn.standing {
            standing.left = true;
        }
        self.table.ends(now, id);
    }

    fn cuts(&mut self, now: Micros, by: BalancerId, id: ConnId, end: End) {
        if self.table.conn(id).is_none_or(|c| c.by != by) {
            return;
        }
        if let Some(conn) = self.table.conn(id) {
            conn.ring.note(now, What::ClientCut(end));
        }
        self.cut_off(now, id);
        self.table.ends(now, id);
    }

    /// The balancer ends a client's connection, itself or with its process.
    fn cut_off(&mut self, now: Micros, id: ConnId) {
        let Some(by) = self.table.conn(id).map(|c| c.by) else { return };
        let planned = *self.leaving(by);
        let Some(conn) = self.table.conn(id) else { return };
        let waits = conn.waits() && !conn.bad;
        let finding = match &mut conn.standing {
            Some(standing) => {
                let finding = standing.cut_off(now, self.nodes.of(standing.node), planned, &self.judging);
                standing.cut = true;
                finding
            }
            None if waits => conn.request.over(now, Over::Cut, &self.judging),
            None => None,
        };
        conn.cut = conn.cut.or(Some(now));
        conn.doubt = finding.map(Box::new).or(conn.doubt.take());
        match self.judging.process {
            0 => self.no_doubt(id),
            while_in_doubt => self.table.book(now + while_in_doubt, id, Check::Doubt),
        }
    }

    /// It was no part of its process's end, or of one that makes no difference.
    fn no_doubt(&mut self, id: ConnId) {
        if let Some(finding) = self.table.conn(id).and_then(|c| c.doubt.take()) {
            self.found(id, *finding);
        }
    }

    /// Nothing is left of a process: what its connections still show was on its way.
    fn dead(&mut self, now: Micros, id: ConnId) {
        if let Some(conn) = self.table.conn(id) {
            conn.judged = true;
            conn.cut = conn.cut.or(Some(now));
            self.table.ends(now, id);
        }
    }

    fn killed(&mut self, now: Micros, by: BalancerId) {
        let planned = std::mem::take(self.leaving(by));
        for id in self.table.ids(Some(by)) {
            self.no_doubt(id);
            self.unanswered(now, id, if planned { Over::PlannedKill } else { Over::Killed });
            let held = self.table.conn(id).and_then(|c| c.standing.as_ref()).and_then(|s| s.at_kill(now));
            match held {
                Some(finding) if planned => self.found(id, finding),
                Some(_) => self.verdict.excuse(Exemption::Killed),
                None => {}
            }
            self.dead(now, id);
        }
    }

    fn exited(&mut self, now: Micros, by: BalancerId) {
        let planned = *self.leaving(by);
        if !planned {
            let case = Case { reason: Reason::Exited, at: now, by, conn: None, node: None };
            self.verdict.add(case, String::from("without SIGTERM"), Vec::new);
        }
        for id in self.table.ids(Some(by)) {
            if planned {
                self.cut_off(now, id);
                self.no_doubt(id);
            }
            self.dead(now, id);
        }
    }
}
