//! One process among the members: its own row, the grants it goes by, and how it comes to lead.

use shorewharf_units::Micros;
use std::collections::{BTreeMap, VecDeque};

use twox_hash::XxHash3_64;

use crate::call::{Call, Condition, Failed, Record, Reply};
use crate::leader::Leader;
use crate::parts::Parts;
use crate::rows::{Amounts, GRANT, Grant, HEAD, Head, MEMBER, Row, grant_name, granted_to, read, text};
use crate::rules::Rules;

/// Beats whose time of sending is remembered.
const SENT: usize = 64;

/// Low bits of a term, or of a life, that come from whose it is: after a store was set back two may count up to the same one, and what
/// was granted in the one must not pass for the other's.
const WHO: u32 = 20;

/// The term of this process, or its life, that follows another.
fn after(term: u64, name: &str, life: u64) -> u64 {
    let who = XxHash3_64::oneshot_with_seed(life, name.as_bytes()) >> (64 - WHO);
    (((term >> WHO) + 1) << WHO) | who
}

/// What is to be done next.
#[derive(Clone, Debug, PartialEq)]
enum Step {
    /// Look at the head and the own grant.
    Look,
    /// Read the own row: what is known of it is out of date.
    Own,
    /// Write the own row.
    Beat,
    /// Read all rows.
    Rows,
    /// Write grants.
    Lead,
    /// Become the leader: first read all grants, then write the head.
    Grants,
    TakeOver,
}

/// What is known of the own row.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Own {
    Unknown,
    Absent,
    At(u64),
}

impl Own {
    fn condition(self, name: String) -> Option<Condition> {
        match self {
            Own::Unknown => None,
            Own::Absent => Some(Condition::Absent(name)),
            Own::At(revision) => Some(Condition::At(name, revision)),
        }
    }
}

/// The head as it was read, and since when it has been seen to be so without a gap.
#[derive(Clone, Debug)]
struct Sight {
    record: Option<(u64, Head)>,
    since: Micros,
    /// When the last look was sent.
    last: Micros,
    /// Since when the store has been looked at without a gap, and was not set back.
    whole: Micros,
}

/// What is told of a member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Calls that were made, those of them that wrote, and those without an answer.
    pub calls: u64,
    /// Writes.
    pub writes: u64,
    /// Bytes of them.
    pub bytes: u64,
    /// Calls without an answer.
    pub failed: u64,
    /// Grants that were passed over as older than one that was seen.
    pub old: u64,
    /// Times that it came to lead, and lost it.
    pub led: u64,
    /// Times that it stopped.
    pub deposed: u64,
}

/// A member.
#[derive(Debug)]
pub struct Member {
    rules: Rules,
    name: String,
    life: u64,
    beat: u64,
    sent: VecDeque<(u64, Micros)>,
    own: Own,
    /// The own row was written in this life.
    joined: bool,
    /// Another process has taken the name.
    outlived: bool,
    /// Term and epoch of the grant that is gone by.
    acked: (u64, u64),
    term: u64,
    /// What the last row said, to see when it is time for another.
    told: Row,
    untold: bool,
    sight: Option<Sight>,
    lead: Option<(Leader, u64, Head)>,
    /// Grants of the last batch, whose answer is awaited.
    leads: Vec<(String, u64)>,
    /// A leader's last write that was answered was sent then.
    confirmed: Micros,
    /// What is to be done now, in order; the first one is out if `since` is set.
    steps: VecDeque<Step>,
    out: Option<Micros>,
    next_look: Micros,
    next_beat: Micros,
    grants: Vec<(String, Grant)>,
    leaving: bool,
    left: bool,
    figures: Figures,
}

impl Member {
    /// A member of this name. `life` has to be higher than that of any process of this name before; where a row of a higher one is
    /// found, one more than that is taken.
    pub fn new(now: Micros, rules: Rules, name: &str, life: u64) -> Member {
        Member {
            rules,
            name: name.to_owned(),
            life,
            beat: 0,
            sent: VecDeque::new(),
            own: Own::Unknown,
            joined: false,
            outlived: false,
            acked: (0, 0),
            term: 0,
            told: Row::default(),
            untold: false,
            sight: None,
            lead: None,
            leads: Vec::new(),
            confirmed: 0,
            steps: VecDeque::new(),
            out: None,
            next_look: now,
            next_beat: now,
            grants: Vec::new(),
            leaving: false,
            left: false,
            figures: Figures::default(),
        }
    }

    /// What is told of it.
    pub fn figures(&self) -> Figures {
        self.figures
    }

    /// Its terms.
    pub fn rules(&self) -> &Rules {
        &self.rules
    }

    /// Its term as a leader; none if it does not lead.
    pub fn leads(&self) -> Option<&Leader> {
        self.lead.as_ref().map(|l| &l.0)
    }

    /// Whether another process has taken its name: then it uses nothing any more.
    pub fn is_outlived(&self) -> bool {
        self.outlived
    }

    /// Whether it has left, or will never hold anything again.
    pub fn is_over(&self) -> bool {
        self.left || self.outlived
    }

    /// Other terms are in force.
    pub fn take_rules(&mut self, rules: Rules) {
        self.rules = rules;
        self.untold = true;
    }

    /// It is to leave in good order: nothing of its is in use any more.
    pub fn leave(&mut self, now: Micros, parts: &mut Parts) {
        parts.end(now);
        parts.reserve_from(Micros::MAX);
        (self.leaving, self.untold) = (true, true);
        self.lead = None;
    }

    /// When [`Member::next`] has something to do.
    pub fn next_due(&self) -> Micros {
        if self.out.is_some() || self.is_over() {
            Micros::MAX
        } else if self.steps.is_empty() {
            self.next_look
        } else {
            0
        }
    }

    /// The next call to make, if it is time for one and none is out. Its answer goes to [`Member::answered`].
    pub fn next(&mut self, now: Micros, parts: &mut Parts) -> Option<Call> {
        if self.out.is_some() || self.is_over() {
            return None;
        }
        if self.steps.is_empty() {
            if now < self.next_look {
                return None;
            }
            self.plan(now, parts);
        }
        while let Some(step) = self.steps.front().cloned() {
            if let Some(call) = self.call(now, &step, parts) {
                self.out = Some(now);
                self.figures.calls += 1;
                if let Call::Write { writes, .. } = &call {
                    self.figures.writes += 1;
                    let bytes =
                        writes.iter().map(|(name, text)| name.len() + text.as_ref().map_or(0, Vec::len));
                    self.figures.bytes += bytes.sum::<usize>() as u64;
                }
                return Some(call);
            }
            self.steps.pop_front();
        }
        None
    }

    fn plan(&mut self, now: Micros, parts: &mut Parts) {
        self.next_look = now + self.rules.look;
        self.steps.push_back(Step::Look);
        if self.own == Own::Unknown {
            self.steps.push_back(Step::Own);
        }
        if now >= self.next_beat || self.untold || parts.outgrown(&self.told.wants) {
            self.steps.push_back(Step::Beat);
        }
        if self.lead.is_some() {
            self.steps.extend([Step::Rows, Step::Lead]);
        }
    }

    fn term_after(&self, term: u64) -> u64 {
        after(term, &self.name, self.life)
    }

    fn own_name(&self) -> String {
        format!("{MEMBER}{}", self.name)
    }

    fn call(&mut self, now: Micros, step: &Step, parts: &mut Parts) -> Option<Call> {
        match step {
            Step::Look => Some(Call::Read(vec![HEAD.to_owned(), grant_name(&self.name, self.life)])),
            Step::Own => Some(Call::Read(vec![self.own_name()])),
            Step::Beat => self.write_row(now, parts),
            Step::Rows => self.lead.as_ref().map(|_| Call::List(MEMBER.to_owned())),
            Step::Lead => self.write_grants(now),
            Step::Grants => Some(Call::List(GRANT.to_owned())),
            Step::TakeOver => self.write_head(),
        }
    }

    fn write_row(&mut self, now: Micros, parts: &mut Parts) -> Option<Call> {
        if !self.untold && now < self.next_beat && !parts.outgrown(&self.told.wants) {
            return None;
        }
        let condition = self.own.condition(self.own_name())?;
        self.beat += 1;
        // Its lease counts from now on, before it is sent: whoever reads it does so later.
        self.sent.push_back((self.beat, now));
        if self.sent.len() > SENT {
            self.sent.pop_front();
        }
        let (wants, holds) = parts.wants(now);
        let (life, beat, term, acked) = (self.life, self.beat, self.term, self.acked);
        let wholes = parts.wholes();
        let row = Row { life, beat, term, acked, wants, holds, wholes, left: self.leaving };
        self.told = row.clone();
        (self.untold, self.next_beat) = (false, now + self.rules.beat());
        Some(Call::Write { conditions: vec![condition], writes: vec![(self.own_name(), Some(text(&row)))] })
    }

    fn write_grants(&mut self, now: Micros) -> Option<Call> {
        let (leader, revision, head) = self.lead.as_mut()?;
        // One that could not write for a lease may have been forgotten, by a store that was set back too.
        if now >= self.confirmed + self.rules.lease {
            self.depose();
            return None;
        }
        let (grants, gone) = leader.grants(now, &self.rules);
        // With nothing to say the head is written all the same, as often as members beat: it shows that there is a leader.
        head.turn += 1;
        let mut writes = vec![(HEAD.to_owned(), Some(text(head)))];
        self.leads = grants.iter().map(|(name, grant)| (name.clone(), grant.life)).collect();
        writes.extend(grants.iter().map(|(name, grant)| (grant_name(name, grant.life), Some(text(grant)))));
        if let Some((name, life, is_last)) = gone {
            writes.push((grant_name(&name, life), None));
            writes.extend(is_last.then(|| (format!("{MEMBER}{name}"), None)));
        }
        Some(Call::Write { conditions: vec![Condition::At(HEAD.to_owned(), *revision)], writes })
    }

    fn write_head(&mut self) -> Option<Call> {
        let sight = self.sight.as_ref()?;
        let condition = match &sight.record {
            Some((revision, _)) => Condition::At(HEAD.to_owned(), *revision),
            None => Condition::Absent(HEAD.to_owned()),
        };
        let head =
            Head { term: self.term_after(self.term), turn: 1, leader: self.name.clone(), life: self.life };
        Some(Call::Write { conditions: vec![condition], writes: vec![(HEAD.to_owned(), Some(text(&head)))] })
    }

    /// The answer to the call that is out.
    pub fn answered(&mut self, now: Micros, answer: Result<Reply, Failed>, parts: &mut Parts) {
        let (Some(sent), Some(step)) = (self.out.take(), self.steps.pop_front()) else { return };
        let Ok(reply) = answer else {
            self.figures.failed += 1;
            return self.failed(&step);
        };
        match (step, reply) {
            (Step::Look, Reply::Read(records)) => self.looked(now, sent, &records, parts),
            (Step::Own, Reply::Read(records)) => {
                self.own_row(now, records.into_iter().next().flatten(), parts);
            }
            (Step::Beat, Reply::Written(revision)) => {
                (self.own, self.joined) = (Own::At(revision), true);
                self.left = self.leaving;
            }
            (Step::Beat, _) => {
                self.own = Own::Unknown;
                self.untold = true;
            }
            (Step::Rows, Reply::Listed(records)) => self.rows(now, &records),
            (Step::Lead, Reply::Written(revision)) => {
                self.confirmed = sent;
                if let Some(lead) = &mut self.lead {
                    lead.1 = revision;
                }
            }
            (Step::Lead, _) => self.depose(),
            (Step::Grants, Reply::Listed(records)) => {
                let grant = |(name, r): (String, Record)| {
                    Some((granted_to(&name)?.0.to_owned(), read::<Grant>(&r.text)?))
                };
                self.grants = records.into_iter().filter_map(grant).collect();
                let highest = self.grants.iter().map(|g| g.1.term).max().unwrap_or(0);
                self.term = self.term.max(highest);
            }
            (Step::TakeOver, Reply::Written(revision)) => self.take_over(now, sent, revision),
            _ => {}
        }
    }

    fn failed(&mut self, step: &Step) {
        match step {
            // Whether it was written is not known.
            Step::Beat => (self.own, self.untold) = (Own::Unknown, true),
            Step::Lead => {
                if let Some((leader, ..)) = &mut self.lead {
                    leader.unsent(&std::mem::take(&mut self.leads));
                }
                // The head tells at the next look whether it was written.
            }
            _ => {}
        }
        self.steps.clear();
    }

    fn depose(&mut self) {
        if self.lead.take().is_some() {
            self.figures.deposed += 1;
        }
        // Others may have written since; it is looked at anew from the begin.
        self.sight = None;
    }

    fn looked(&mut self, now: Micros, sent: Micros, records: &[Option<Record>], parts: &mut Parts) {
        let head =
            records.first().cloned().flatten().and_then(|r| Some((r.revision, read::<Head>(&r.text)?)));
        if let Some((_, head)) = &head
            && head.term > self.term
        {
            // Who has come to lead waits for rows that are newer than its term.
            (self.term, self.untold) = (head.term, true);
            self.steps.push_back(Step::Beat);
        }
        self.sees(now, sent, head);
        if let Some(grant) = records.get(1).cloned().flatten().and_then(|r| read::<Grant>(&r.text)) {
            self.granted(now, &grant, parts);
        }
    }

    fn sees(&mut self, now: Micros, sent: Micros, head: Option<(u64, Head)>) {
        if let Some((_, revision, own)) = &mut self.lead {
            match &head {
                Some((found, there)) if there == own => *revision = *found,
                // The last write was not done, or has not come yet; the next one has the condition that it does not come any more.
                Some((found, _)) if found == revision => {}
                _ => self.depose(),
            }
            return;
        }
        // Between two looks that lie far apart somebody may have led, and a store may have been set back since.
        let gap = self.rules.lease / 2;
        let same = self.sight.as_ref().is_some_and(|s| {
            s.record.as_ref().map(|r| r.0) == head.as_ref().map(|h| h.0)
                && s.record.as_ref().map(|r| &r.1) == head.as_ref().map(|h| &h.1)
                && now < s.last + gap
        });
        let since = match &self.sight {
            Some(s) if same => s.since,
            _ => now,
        };
        let number =
            |head: &Option<(u64, Head)>| head.as_ref().map_or((0, 0), |(revision, h)| (*revision, h.term));
        let whole = match &self.sight {
            Some(s) if now < s.last + gap => {
                let (before, after) = (number(&s.record), number(&head));
                if after.0 >= before.0 && after.1 >= before.1 { s.whole } else { now }
            }
            _ => now,
        };
        self.sight = Some(Sight { record: head, since, last: sent, whole });
        if now >= since + self.rules.lease + self.rules.margin && self.joined && !self.leaving {
            self.steps.extend([Step::Grants, Step::TakeOver]);
        }
    }

    /// A grant was read.
    fn granted(&mut self, now: Micros, grant: &Grant, parts: &mut Parts) {
        if grant.life != self.life || self.leaving {
            return;
        }
        let number = (grant.term, grant.epoch);
        if number < self.acked {
            self.figures.old += 1;
            return;
        }
        if number > self.acked {
            parts.grant(now, &grant.parts);
            self.acked = number;
            self.term = self.term.max(grant.term);
            // Others wait for what this one gives back.
            self.untold = true;
            self.steps.push_back(Step::Beat);
        }
        if let Some((_, sent)) = self.sent.iter().find(|(beat, _)| *beat == grant.heard) {
            parts.extend(now, sent + self.rules.lease - self.rules.margin);
        }
    }

    /// The own row was read, as what is known of it was out of date.
    fn own_row(&mut self, now: Micros, record: Option<Record>, parts: &mut Parts) {
        let Some(record) = record else {
            self.own = Own::Absent;
            if !self.joined {
                parts.reserve_from(now);
            }
            return;
        };
        self.own = Own::At(record.revision);
        let Some(row) = read::<Row>(&record.text) else { return };
        match row.life.cmp(&self.life) {
            std::cmp::Ordering::Equal if self.joined || row.beat <= self.beat => {}
            std::cmp::Ordering::Less if self.joined => {}
            // A later process of this name is there.
            std::cmp::Ordering::Greater if self.joined => {
                self.outlived = true;
                self.lead = None;
                parts.end(now);
                parts.reserve_from(Micros::MAX);
            }
            _ => {
                // Before the first row: one before may live, and use the reserve until it learns of this one.
                self.life = self.life.max(after(row.life, &self.name, self.life));
                let until = now + self.rules.lease + self.rules.margin + self.rules.linger;
                parts.reserve_from(if row.left { now } else { until });
            }
        }
    }

    fn rows(&mut self, now: Micros, records: &[(String, Record)]) {
        let row = |(name, r): &(String, Record)| {
            Some((name.strip_prefix(MEMBER)?.to_owned(), read::<Row>(&r.text)?))
        };
        let Some((leader, _, head)) = &mut self.lead else { return };
        leader.hears(now, &self.rules, records.iter().filter_map(row).collect());
        // Members pass over grants of a term below one they have seen: the store was set back.
        let highest = leader.highest_term();
        if highest > leader.term {
            head.term = after(highest, &self.name, self.life);
            leader.begin(head.term);
            self.term = head.term;
        }
    }

    fn take_over(&mut self, now: Micros, sent: Micros, revision: u64) {
        self.term = self.term_after(self.term);
        let head = Head { term: self.term, turn: 1, leader: self.name.clone(), life: self.life };
        let grants = std::mem::take(&mut self.grants);
        let whole = self.sight.as_ref().map_or(now, |s| s.whole);
        self.lead = Some((Leader::new(now, whole, self.term, &self.rules, grants), revision, head));
        self.confirmed = sent;
        self.figures.led += 1;
        self.untold = true;
        self.steps.extend([Step::Rows, Step::Beat, Step::Rows, Step::Lead]);
    }

    /// The amounts of the last row, by budget: wants.
    pub fn wants(&self) -> &Amounts {
        &self.told.wants
    }

    /// Parts by member, where this one leads: what may be in use.
    pub fn may(&self) -> BTreeMap<String, f64> {
        let Some((leader, ..)) = &self.lead else { return BTreeMap::new() };
        self.rules.budgets.iter().map(|b| (b.name.clone(), leader.may(&b.name))).collect()
    }
}
