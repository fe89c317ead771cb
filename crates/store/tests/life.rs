//! What callers are promised, in one file and through the store's thread.

mod rig;

use rig::story::story;
use rig::{NOW, create, name};
use shorewharf_store::calls::{Answer, Call, Found, Question, Request};
use shorewharf_store::check::check;
use shorewharf_store::embedded::{Create, Embedded};
use shorewharf_store::error::StoreError;
use shorewharf_store::known::Known;
use shorewharf_store::record::{Actor, NewTenant, NewToken, Place, Role, TokenSeed};
use shorewharf_store::service::{Options, Service, Told};
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
        matches!(second, Err(StoreError::InUse { path: p }) if p == path),
        "two processes wrote one file"
    );
}

/// Looks until something is found.
fn until<T>(service: &mut Service, woken: &Receiver<()>, mut find: impl FnMut(Told) -> Option<T>) -> T {
    loop {
        let found: Vec<T> = service.look().into_iter().filter_map(&mut find).collect();
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
    let options = Options { queue: 32, ..Options::default() };
    let mut service = Service::start(Box::new(store), options, Box::new(|| NOW), wake).unwrap();
    // A burst: what the queue can't hold is refused at once, and the rest is written together.
    let tenant = |i| Call::CreateTenant(NewTenant::named(name(&format!("t{i}"))));
    let asked: Vec<_> = (0..40).map(|i| service.change(Request::new(Actor::File, tenant(i)))).collect();
    assert!(asked[..32].iter().all(Result::is_ok));
    assert_eq!(asked[32..].iter().filter(|a| **a == Err(StoreError::Busy { waiting: 32 })).count(), 8);
    let mut known = Known::default();
    let mut done = 0;
    until(&mut service, &woken, |told| {
        match told {
            Told::Done(_, answer) => done += usize::from(answer.is_ok()),
            Told::News(news) => assert_eq!(known.take(&news), []),
            other => panic!("{other:?}"),
        }
        (done == 32 && known.tenants().count() == 32).then_some(())
    });
    let token = NewToken { role: Role::TenantAdmin(Place(3)), label: String::new(), expires: None };
    let seed = TokenSeed([9; 40]);
    service.change(Request::new(Actor::File, Call::CreateToken { new: token, seed })).unwrap();
    let mut text = None;
    let id = until(&mut service, &woken, |told| match told {
        Told::Done(_, Ok(done)) => {
            let Answer::Token { token, text: made } = done.answer else { panic!() };
            text = made;
            Some(token.record.id)
        }
        Told::News(news) => known.take(&news).pop().map(|e| panic!("{e}")),
        _ => None,
    });
    let text = text.unwrap();
    // The tenant goes, and its admin with it, whoever holds the token; its place is nobody's.
    let gone = Call::RemoveTenant { name: name("T3"), expected: None };
    service.change(Request::new(Actor::File, gone)).unwrap();
    until(&mut service, &woken, |told| match told {
        Told::News(news) => {
            known.take(&news);
            (known.tenant(&name("t3")).is_none()).then_some(())
        }
        _ => None,
    });
    assert!(known.token(&id, NOW).is_some() && known.bearer(&text, NOW).is_none());
    assert!(known.tenant_at(Place(3)).is_none() && known.place(Place(3)).unwrap().removed.is_some());
    assert_eq!((known.limits().version.0, known.classes().count(), known.age(NOW + 5)), (0, 0, Some(5)));
    let ticket = service.ask(Question::Audit { before: None, limit: 1 }).unwrap();
    let last = service.close().into_iter().find_map(|told| match told {
        Told::Found(t, Ok(Found::Audit(entries, _))) if t == ticket => entries.into_iter().next(),
        _ => None,
    });
    assert_eq!(last.unwrap().target, "tenant/t3", "what waits is done before the thread ends");
    let mut again = Embedded::open(dir.path().join("store"), Create::Never, NOW).unwrap();
    assert!(create(&mut again, "t3").unwrap().record.place > Place(31));
}
