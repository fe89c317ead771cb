//! The embedded engine, and the store's thread on top of it.

mod common;

use common::conformance::run_conformance;
use common::{NOW, create, name};
use shorewharf_store::check::check;
use shorewharf_store::commands::{ChangeRequest, Command, Lookup, LookupResult, Reply};
use shorewharf_store::directory::Directory;
use shorewharf_store::embedded::{Create, Embedded};
use shorewharf_store::error::StoreError;
use shorewharf_store::record::{Actor, NewTenant, NewToken, NumericId, Role, TokenSeed};
use shorewharf_store::service::{Notification, Options, StoreThread};
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

/// Far longer than any wait in these tests should take.
const TIMEOUT: Duration = Duration::from_secs(30);

#[test]
fn the_embedded_engine_conforms() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("store");
    run_conformance(&mut Embedded::open(&path, Create::IfMissing, NOW).unwrap());
    let mut store = Embedded::open(&path, Create::Never, NOW).unwrap();
    assert_eq!(check(&mut store, NOW).unwrap(), []);
    let second = Embedded::open(&path, Create::Never, NOW).map(drop);
    assert!(matches!(second, Err(StoreError::Locked { path: p }) if p == path), "the file was opened twice");
}

/// Polls the thread each time it wakes its caller, until `find` returns a value for a notification.
fn wait_for<T>(
    thread: &mut StoreThread,
    woken: &Receiver<()>,
    mut find: impl FnMut(Notification) -> Option<T>,
) -> T {
    loop {
        let found: Vec<T> = thread.poll().into_iter().filter_map(&mut find).collect();
        if let Some(found) = found.into_iter().next() {
            return found;
        }
        woken.recv_timeout(TIMEOUT).expect("the store's thread reported nothing");
    }
}

#[test]
fn the_store_thread_reports_changes_and_rejects_calls_when_its_queue_is_full() {
    let dir = tempfile::tempdir().unwrap();
    let store = Embedded::open(dir.path().join("store"), Create::IfMissing, NOW).unwrap();
    let (wake, woken) = channel();
    let wake = Box::new(move || wake.send(()).unwrap_or_default());
    let options = Options { queue_capacity: 32, ..Options::default() };
    let mut thread = StoreThread::start(Box::new(store), options, Box::new(|| NOW), wake).unwrap();
    // A burst of changes: those that do not fit into the queue are rejected at once, the others are written.
    let tenant = |i| Command::CreateTenant(NewTenant::named(name(&format!("t{i}"))));
    let tickets: Vec<_> =
        (0..40).map(|i| thread.change(ChangeRequest::new(Actor::File, tenant(i)))).collect();
    assert!(tickets[..32].iter().all(Result::is_ok));
    assert_eq!(tickets[32..].iter().filter(|t| **t == Err(StoreError::QueueFull { pending: 32 })).count(), 8);
    let mut directory = Directory::default();
    let mut done = 0;
    wait_for(&mut thread, &woken, |notification| {
        match notification {
            Notification::Changed(_, result) => done += usize::from(result.is_ok()),
            Notification::RecordsChanged(batch) => assert_eq!(directory.apply(&batch), []),
            other => panic!("{other:?}"),
        }
        (done == 32 && directory.tenants().count() == 32).then_some(())
    });
    let token = NewToken { role: Role::TenantAdmin(NumericId(3)), label: String::new(), expires: None };
    let seed = TokenSeed([9; 40]);
    thread.change(ChangeRequest::new(Actor::File, Command::CreateToken { new: token, seed })).unwrap();
    let mut text = None;
    let id = wait_for(&mut thread, &woken, |notification| match notification {
        Notification::Changed(_, Ok(done)) => {
            let Reply::Token { token, text: created } = done.reply else { panic!() };
            text = created;
            Some(token.record.id)
        }
        Notification::RecordsChanged(batch) => directory.apply(&batch).pop().map(|e| panic!("{e}")),
        _ => None,
    });
    let text = text.unwrap();
    // Once the tenant is removed, its administrator's token no longer authenticates, and its id has no tenant.
    let removal = Command::RemoveTenant { name: name("T3"), expected: None };
    thread.change(ChangeRequest::new(Actor::File, removal)).unwrap();
    wait_for(&mut thread, &woken, |notification| match notification {
        Notification::RecordsChanged(batch) => {
            directory.apply(&batch);
            (directory.tenant(&name("t3")).is_none()).then_some(())
        }
        _ => None,
    });
    assert!(directory.valid_token(&id, NOW).is_some() && directory.authenticate(&text, NOW).is_none());
    assert!(
        directory.tenant_by_id(NumericId(3)).is_none()
            && directory.id_assignment(NumericId(3)).unwrap().removed.is_some()
    );
    assert_eq!(
        (directory.limits().version.0, directory.classes().count(), directory.age(NOW + 5)),
        (0, 0, Some(5))
    );
    let ticket = thread.look_up(Lookup::Audit { before: None, limit: 1 }).unwrap();
    let last = thread.close().into_iter().find_map(|notification| match notification {
        Notification::LookedUp(t, Ok(LookupResult::Audit(entries, _))) if t == ticket => {
            entries.into_iter().next()
        }
        _ => None,
    });
    assert_eq!(last.unwrap().target, "tenant/t3", "pending calls are completed before the thread ends");
    let mut reopened = Embedded::open(dir.path().join("store"), Create::Never, NOW).unwrap();
    assert!(create(&mut reopened, "t3").unwrap().record.id > NumericId(31));
}
