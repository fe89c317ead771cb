//! What callers are promised, in one file and through the store's thread.

mod rig;

use rig::story::story;
use rig::{NOW, create, name};
use shorewharf_store::check::check;
use shorewharf_store::commands::{ChangeRequest, Command, Lookup, LookupResult, Reply};
use shorewharf_store::directory::Directory;
use shorewharf_store::embedded::{Create, Embedded};
use shorewharf_store::error::StoreError;
use shorewharf_store::record::{Actor, NewTenant, NewToken, NumericId, Role, TokenSeed};
use shorewharf_store::service::{Notification, Options, StoreThread};
use std::sync::mpsc::{Receiver, channel};
use std::time::Duration;

/// Far beyond what anything here takes.
const LONG: Duration = Duration::from_secs(30);

#[test]
fn the_story_holds_in_one_file() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("store");
    story(&mut Embedded::open(&path, Create::IfMissing, NOW).unwrap());
    let mut store = Embedded::open(&path, Create::Never, NOW).unwrap();
    assert_eq!(check(&mut store, NOW).unwrap(), []);
    let second = Embedded::open(&path, Create::Never, NOW).map(drop);
    assert!(
        matches!(second, Err(StoreError::Locked { path: p }) if p == path),
        "two processes wrote one file"
    );
}

/// Looks until something is found.
fn until<T>(
    service: &mut StoreThread,
    woken: &Receiver<()>,
    mut find: impl FnMut(Notification) -> Option<T>,
) -> T {
    loop {
        let found: Vec<T> = service.poll().into_iter().filter_map(&mut find).collect();
        if let Some(found) = found.into_iter().next() {
            return found;
        }
        woken.recv_timeout(LONG).expect("the store's thread told nothing");
    }
}

#[test]
fn a_loop_is_told_what_changed_and_never_waits() {
    let dir = tempfile::tempdir().unwrap();
    let store = Embedded::open(dir.path().join("store"), Create::IfMissing, NOW).unwrap();
    let (wake, woken) = channel();
    let wake = Box::new(move || wake.send(()).unwrap_or_default());
    let options = Options { queue_capacity: 32, ..Options::default() };
    let mut service = StoreThread::start(Box::new(store), options, Box::new(|| NOW), wake).unwrap();
    // A burst: what the queue can't hold is refused at once, and the rest is written together.
    let tenant = |i| Command::CreateTenant(NewTenant::named(name(&format!("t{i}"))));
    let asked: Vec<_> = (0..40).map(|i| service.change(ChangeRequest::new(Actor::File, tenant(i)))).collect();
    assert!(asked[..32].iter().all(Result::is_ok));
    assert_eq!(asked[32..].iter().filter(|a| **a == Err(StoreError::QueueFull { pending: 32 })).count(), 8);
    let mut directory = Directory::default();
    let mut done = 0;
    until(&mut service, &woken, |notification| {
        match notification {
            Notification::Changed(_, answer) => done += usize::from(answer.is_ok()),
            Notification::RecordsChanged(batch) => assert_eq!(directory.apply(&batch), []),
            other => panic!("{other:?}"),
        }
        (done == 32 && directory.tenants().count() == 32).then_some(())
    });
    let token = NewToken { role: Role::TenantAdmin(NumericId(3)), label: String::new(), expires: None };
    let seed = TokenSeed([9; 40]);
    service.change(ChangeRequest::new(Actor::File, Command::CreateToken { new: token, seed })).unwrap();
    let mut text = None;
    let id = until(&mut service, &woken, |notification| match notification {
        Notification::Changed(_, Ok(done)) => {
            let Reply::Token { token, text: made } = done.reply else { panic!() };
            text = made;
            Some(token.record.id)
        }
        Notification::RecordsChanged(batch) => directory.apply(&batch).pop().map(|e| panic!("{e}")),
        _ => None,
    });
    let text = text.unwrap();
    // The tenant goes, and its admin with it, whoever holds the token; its place is nobody's.
    let gone = Command::RemoveTenant { name: name("T3"), expected: None };
    service.change(ChangeRequest::new(Actor::File, gone)).unwrap();
    until(&mut service, &woken, |notification| match notification {
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
    let ticket = service.look_up(Lookup::Audit { before: None, limit: 1 }).unwrap();
    let last = service.close().into_iter().find_map(|notification| match notification {
        Notification::LookedUp(t, Ok(LookupResult::Audit(entries, _))) if t == ticket => {
            entries.into_iter().next()
        }
        _ => None,
    });
    assert_eq!(last.unwrap().target, "tenant/t3", "what waits is done before the thread ends");
    let mut again = Embedded::open(dir.path().join("store"), Create::Never, NOW).unwrap();
    assert!(create(&mut again, "t3").unwrap().record.id > NumericId(31));
}
