//! Tests of the module that these stand beside.

use super::*;
use crate::event_loop::poll::EventPoller;

fn crew(n: usize) -> (Vec<Crew>, Vec<EventPoller>) {
    let (mut seats, mut watches) = (Vec::new(), Vec::new());
    for _ in 0..n {
        let watch = EventPoller::new().expect("a loop");
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
        seats.push(Seat::new(watch.waker().expect("a waker"), listener));
        watches.push(watch);
    }
    (Crew::of(seats), watches)
}

#[test]
fn clients_go_where_there_are_far_fewer_and_never_to_one_that_stalls() {
    let (crew, _watches) = crew(3);
    for (who, held) in [(0, 100), (1, 90), (2, 10)] {
        crew[who].turns(held, 5_000_000);
    }
    assert_eq!((crew[1].better(5_000_000, 90), crew[2].better(5_000_000, 10)), (Some(2), None));
    assert_eq!(crew[0].better(5_000_000, 27), None, "one more was handed on, and is counted");
    // The emptiest one stalls; of the rest nobody holds far more.
    crew[0].turns(100, 9_000_000);
    crew[1].turns(90, 9_000_000);
    assert_eq!(crew[0].better(5_000_000 + STALLS, 106), None);
    assert_eq!(crew[0].better(5_000_000 + STALLS, 107), Some(1));
}

#[test]
fn a_worker_that_stalls_or_has_ended_has_its_listener_served_by_its_neighbour() {
    let (mut crew, _watches) = crew(2);
    crew[1].turns(0, 1_000_000);
    assert!(crew[0].looks_after(1_000_000 + STALLS - 1).is_none());
    assert!(matches!(crew[0].looks_after(1_000_000 + STALLS), Some(Help::Begins(_))));
    assert!(crew[0].looks_after(1_000_000 + STALLS).is_none() && crew[0].helped().is_some());
    crew[1].turns(0, 3_000_000);
    assert!(matches!(crew[0].looks_after(2_500_000), Some(Help::Ends(_))) && crew[0].helped().is_none());
    drop(crew.remove(1));
    assert!(matches!(crew[0].looks_after(2_500_000), Some(Help::Begins(_))));
    assert!(crew[0].tell(1, Order::Stop).is_err());
}
