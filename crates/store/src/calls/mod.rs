//! The calls that change what is kept, and the questions about it, the same for every engine.
//!
//! [`run`] makes a group of calls at once: each is decided by itself, as if the ones before it were written, and
//! all that are not refused are written as one batch. So a hundred calls that wait cost one synced write.

mod ask;
mod classes;
mod count;
mod tenants;
mod tokens;
mod view;

pub use ask::{Found, Level, Question, UsageRow, answer};

use crate::error::StoreError;
use crate::key::{Key, Space};
use crate::name::{ClassName, Name};
use crate::record::{
    Actor, ClassRecord, Deed, Micros, NewTenant, NewToken, OnceKey, OnceRecord, Place, ServiceLimits,
    TenantChange, TenantRecord, TokenId, TokenRecord, TokenSeed, UsageReport,
};
use crate::store::{Batch, Revision, Store};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeSet;
use view::{PENDING, View};

/// The counter of audit entries: the last number.
pub(crate) const AUDIT: &str = "audit";
/// The counter of tenants' places: the next one.
pub(crate) const TENANT_PLACES: &str = "tenant-places";
/// The counter of classes' places: the next one.
pub(crate) const CLASS_PLACES: &str = "class-places";
/// How many tenants there are.
pub(crate) const TENANTS: &str = "tenants";
/// The name of the one record of service-wide limits.
pub(crate) const SERVICE: &str = "service";

/// How often a group is decided anew because another instance wrote in between.
const TRIES: usize = 8;

/// A change that somebody wants.
#[derive(Clone, Debug)]
pub struct Request {
    /// Who.
    pub who: Actor,
    /// What.
    pub call: Call,
    /// The idempotency key, if one came along.
    pub once: Option<OnceKey>,
}

impl Request {
    /// A call without an idempotency key.
    pub fn new(who: Actor, call: Call) -> Request {
        Request { who, call, once: None }
    }
}

/// A change. `expected` is the version that the caller knows; `None` for whichever there is.
#[derive(Clone, Debug)]
pub enum Call {
    /// Makes a tenant and gives it a place.
    CreateTenant(NewTenant),
    /// Changes a tenant.
    ChangeTenant {
        /// Which, in any spelling.
        name: Name,
        /// Its version.
        expected: Option<Revision>,
        /// What changes.
        change: TenantChange,
    },
    /// Removes a tenant. Its name is free at once, its place never again.
    RemoveTenant {
        /// Which, in any spelling.
        name: Name,
        /// Its version.
        expected: Option<Revision>,
    },
    /// Makes a class, or changes it and leaves its place.
    PutClass {
        /// The class.
        class: ClassRecord,
        /// Its version; 0 if it must not be there.
        expected: Option<Revision>,
    },
    /// Removes a class that no tenant names.
    RemoveClass {
        /// Which.
        name: ClassName,
        /// Its version.
        expected: Option<Revision>,
    },
    /// Makes a token.
    CreateToken {
        /// What of.
        new: NewToken,
        /// Its randomness.
        seed: TokenSeed,
    },
    /// Revokes a token, for good.
    RevokeToken {
        /// Which.
        id: TokenId,
    },
    /// Sets the service-wide limits, all of them.
    SetLimits {
        /// The limits.
        limits: ServiceLimits,
        /// Their version; 0 if none were set.
        expected: Option<Revision>,
    },
    /// Writes into the audit trail what was done to the fleet.
    Note {
        /// To what: a server, a session, a tenant's sessions.
        target: String,
        /// What it was before.
        before: Option<Value>,
        /// What it is now.
        after: Option<Value>,
    },
    /// Counts what an instance used in a minute.
    Count(UsageReport),
    /// Removes what has had its time: expired idempotency keys, minutes and hours of usage. Some at once.
    Tidy,
}

/// A record and its version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Kept<T> {
    /// The revision that last changed it.
    pub version: Revision,
    /// The record.
    pub record: T,
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind", content = "of")]
pub enum Answer {
    /// The tenant as it is now.
    Tenant(Kept<TenantRecord>),
    /// The class as it is now.
    Class(Kept<ClassRecord>),
    /// The token's record, and its text where it was just made. The text is never kept: the answer to a repeated
    /// call has none.
    Token {
        /// The record.
        token: Kept<TokenRecord>,
        /// The text.
        #[serde(skip)]
        text: Option<String>,
    },
    /// The limits as they are now.
    Limits(Kept<ServiceLimits>),
    /// Removed; the place that it had.
    Removed(Place),
    /// Written down.
    Noted,
    /// Counted, or counted before.
    Counted {
        /// Whether anything of it was new.
        new: bool,
    },
    /// So many records were removed.
    Tidied {
        /// How many.
        removed: usize,
        /// Whether there is more to remove now.
        more: bool,
    },
}

impl Answer {
    fn settle(&mut self, revision: Revision) {
        let version = match self {
            Answer::Tenant(kept) => &mut kept.version,
            Answer::Class(kept) => &mut kept.version,
            Answer::Token { token, .. } => &mut token.version,
            Answer::Limits(kept) => &mut kept.version,
            _ => return,
        };
        if *version == PENDING {
            *version = revision;
        }
    }
}

/// An answer, and whether it is that of an earlier call with the same idempotency key.
#[derive(Clone, Debug, PartialEq)]
pub struct Done {
    /// The answer.
    pub answer: Answer,
    /// Whether it was given before, and nothing was changed now.
    pub repeated: bool,
}

/// Makes calls, in their order, and answers each in its place.
pub fn run(store: &mut dyn Store, requests: &[Request], now: Micros) -> Vec<Result<Done, StoreError>> {
    let mut answers = Vec::with_capacity(requests.len());
    while answers.len() < requests.len() {
        let from = answers.len();
        if let Call::Count(report) = &requests[from].call {
            answers.push(count::all(store, report, now).map(|answer| Done { answer, repeated: false }));
            continue;
        }
        answers.extend(group(store, &requests[from..], now));
    }
    answers
}

/// Makes as many calls as fit one batch, at least one.
fn group(store: &mut dyn Store, requests: &[Request], now: Micros) -> Vec<Result<Done, StoreError>> {
    for tried in 1.. {
        let mut view = View::new(store, now);
        let mut done = Vec::new();
        if let Err(e) = view.read_ahead(touched(requests)) {
            return vec![Err(e)];
        }
        for request in requests {
            // Usage has groups of its own; a class is removed only after a look at all that is written.
            let alone = matches!(request.call, Call::RemoveClass { .. }) && view.writes();
            if alone || matches!(request.call, Call::Count(_)) {
                break;
            }
            match decide(&mut view, request) {
                Ok(answer) if view.settle() => done.push(Ok(answer)),
                Ok(_) => break,
                Err(e) => {
                    view.drop_draft();
                    done.push(Err(e));
                }
            }
        }
        if !view.writes() {
            return done;
        }
        let batch = view.batch();
        match store.apply(&batch, now) {
            Ok(revision) => {
                for answer in done.iter_mut().flatten() {
                    answer.answer.settle(revision);
                }
                return done;
            }
            // Somebody else wrote what this was decided on: the callers' own expectations are looked at anew.
            Err(StoreError::Conflict { .. } | StoreError::Exists { .. }) if tried < TRIES => {}
            Err(e) => return refuse(done, crowded(e)),
        }
    }
    unreachable!("the last try returns")
}

/// After the last try: not the caller's expectation has failed, others were faster each time.
fn crowded(e: StoreError) -> StoreError {
    match e {
        StoreError::Conflict { key, .. } | StoreError::Exists { key } => {
            StoreError::Unavailable { endpoint: key, cause: "other instances write at the same time".into() }
        }
        e => e,
    }
}

/// Most of the records that calls will ask for; what is missing here is read when it is asked for.
fn touched(requests: &[Request]) -> Vec<Key> {
    let meta = |name: &str| Key::new(Space::Meta, name);
    let tenant = |name: &Name| Key::new(Space::Tenant, name.unique());
    let look = |name: &Name| Key::new(Space::Look, name.look().skeleton);
    let counters = [TENANT_PLACES, TENANTS].map(meta);
    let mut keys = BTreeSet::from([meta(AUDIT)]);
    for request in requests.iter().take(Batch::LARGEST) {
        keys.extend(request.once.iter().map(|once| Key::new(Space::Once, &once.name)));
        match &request.call {
            Call::CreateTenant(new) => {
                keys.extend([tenant(&new.name), look(&new.name), Key::new(Space::Limits, SERVICE)]);
                keys.extend(counters.clone());
                let classes = new.classes.iter().flatten();
                keys.extend(classes.map(|class| Key::new(Space::Class, class.as_str())));
            }
            Call::ChangeTenant { name, .. } => drop(keys.insert(tenant(name))),
            Call::RemoveTenant { name, .. } => keys.extend([tenant(name), look(name), meta(TENANTS)]),
            Call::PutClass { class, .. } => drop(keys.insert(Key::new(Space::Class, class.name().as_str()))),
            Call::RevokeToken { id } => drop(keys.insert(Key::new(Space::Token, id.as_str()))),
            Call::SetLimits { .. } => drop(keys.insert(Key::new(Space::Limits, SERVICE))),
            _ => {}
        }
    }
    keys.into_iter().collect()
}

/// Gives all who were to be answered well the error instead; who was refused stays refused.
fn refuse(done: Vec<Result<Done, StoreError>>, e: StoreError) -> Vec<Result<Done, StoreError>> {
    done.into_iter()
        .map(|d| d.and_then(|done| if done.repeated { Ok(done) } else { Err(e.clone()) }))
        .collect()
}

/// Decides one call, with the answer that was kept for it if it comes again.
fn decide(view: &mut View<'_>, request: &Request) -> Result<Done, StoreError> {
    let Some(once) = &request.once else {
        return Ok(Done { answer: make(view, request)?, repeated: false });
    };
    let key = Key::new(Space::Once, &once.name);
    if let Some((version, kept)) = view.get::<OnceRecord>(&key)?.filter(|(_, kept)| view.now < kept.expires) {
        if kept.print != once.print {
            return Err(StoreError::KeyReused { made: kept.made });
        }
        let answer = serde_json::from_value(kept.answer).map_err(|e| StoreError::damaged(&key, e));
        let mut answer: Answer = answer?;
        answer.settle(version);
        return Ok(Done { answer, repeated: true });
    }
    let answer = make(view, request)?;
    let value = serde_json::to_value(&answer).map_err(|e| StoreError::damaged(&key, e))?;
    let record =
        OnceRecord { print: once.print.clone(), answer: value, made: view.now, expires: once.expires };
    view.put(&key, &record)?;
    Ok(Done { answer, repeated: false })
}

fn make(view: &mut View<'_>, request: &Request) -> Result<Answer, StoreError> {
    let who = &request.who;
    match &request.call {
        Call::CreateTenant(new) => tenants::create(view, who, new),
        Call::ChangeTenant { name, expected, change } => tenants::change(view, who, name, *expected, change),
        Call::RemoveTenant { name, expected } => tenants::remove(view, who, name, *expected),
        Call::PutClass { class, expected } => classes::put(view, who, class, *expected),
        Call::RemoveClass { name, expected } => classes::remove(view, who, name, *expected),
        Call::CreateToken { new, seed } => tokens::create(view, who, new, seed),
        Call::RevokeToken { id } => tokens::revoke(view, who, id),
        Call::SetLimits { limits, expected } => set_limits(view, who, limits, *expected),
        Call::Note { target, before, after } => {
            view.audit(who, Deed::Command, target.clone(), before.clone(), after.clone())?;
            Ok(Answer::Noted)
        }
        Call::Tidy => count::tidy(view),
        Call::Count(_) => Ok(Answer::Counted { new: false }),
    }
}

fn set_limits(
    view: &mut View<'_>,
    who: &Actor,
    limits: &ServiceLimits,
    expected: Option<Revision>,
) -> Result<Answer, StoreError> {
    let key = Key::new(Space::Limits, SERVICE);
    let before = view.get::<ServiceLimits>(&key)?;
    let found = before.as_ref().map_or(Revision(0), |(version, _)| *version);
    if let Some(expected) = expected.filter(|e| *e != found) {
        return Err(StoreError::Conflict { key: key.text(), expected, found });
    }
    let record = ServiceLimits { changed: view.now, ..limits.clone() };
    view.put(&key, &record)?;
    view.audit(who, Deed::LimitsSet, key.text(), shown(&before.map(|(_, b)| b)), shown(&Some(&record)))?;
    Ok(Answer::Limits(Kept { version: PENDING, record }))
}

/// A record as the audit trail shows it.
fn shown<T: Serialize>(record: &Option<T>) -> Option<Value> {
    record.as_ref().map(|r| serde_json::to_value(r).unwrap_or_default())
}
