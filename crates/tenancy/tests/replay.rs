//! Pinned random events, compared line by line with a fixture: a change of the code's shape must change no verdict, no
//! wait and no figure, down to the last digit.

use std::fmt::Write;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use shorewharf_tenancy::{Limits, Place, Tenancy, Terms, Verdict, Why};
use shorewharf_units::Micros;

const FIXTURE: &str = include_str!("fixtures/replay.txt");
const TENANTS: usize = 6;
/// Figures are written out after so many events.
const STATS_EVERY: u32 = 100;

/// An instance, who is being set up and who stands there, and all that came out.
struct Replay {
    tenancy: Tenancy,
    rng: Pcg64Mcg,
    now: Micros,
    setting_up: Vec<Place>,
    standing: Vec<Place>,
    /// Of twenty admitted requests, how many the decision module refuses.
    refusals: u32,
    out: String,
}

impl Replay {
    fn new(seed: u64, terms: Terms, refusals: u32) -> Replay {
        let now = 1_000_000;
        let mut tenancy = Tenancy::new(terms, now);
        for place in 0..TENANTS {
            let limits = Limits::new(30.0 + 7.0 * place as f64, 3.0 + place as f64).expect("in range");
            let limits = limits.weighing(1.0 + place as f64 / 3.0).expect("in range");
            let limits = if place == 4 { limits.without_borrowing() } else { limits };
            tenancy.set(now, Place(place), (place != 5).then_some(limits));
        }
        let rng = Pcg64Mcg::seed_from_u64(seed);
        Replay {
            tenancy,
            rng,
            now,
            setting_up: Vec::new(),
            standing: Vec::new(),
            refusals,
            out: String::new(),
        }
    }

    fn ask(&mut self) {
        let flood = self.rng.random_bool(0.4);
        let place = Place(if flood { 0 } else { self.rng.random_range(0..TENANTS + 1) });
        let returning = self.rng.random_bool(0.3);
        match self.tenancy.asked(self.now, place, returning) {
            Verdict::Admit => {
                write!(self.out, " {}+", place.0).expect("memory");
                if self.rng.random_bool(0.97) {
                    self.tenancy.taken(self.now);
                    self.setting_up.push(place);
                }
            }
            Verdict::TurnAway { after, why } => {
                write!(self.out, " {}-{}:{after}", place.0, why.text()).expect("memory");
            }
        }
    }

    fn settle(&mut self) {
        if self.setting_up.is_empty() {
            return;
        }
        let at = self.rng.random_range(0..self.setting_up.len());
        let place = self.setting_up.swap_remove(at);
        match self.rng.random_range(0..20) {
            0 => self.tenancy.left(self.now, place),
            lot if lot <= self.refusals => self.tenancy.refused(self.now, place),
            _ => {
                self.tenancy.up(self.now, place);
                self.standing.push(place);
            }
        }
    }

    fn end(&mut self) {
        if !self.standing.is_empty() {
            let at = self.rng.random_range(0..self.standing.len());
            let place = self.standing.swap_remove(at);
            self.tenancy.ended(self.now, place);
        }
    }

    fn change(&mut self) {
        let place = Place(self.rng.random_range(1..TENANTS));
        match self.rng.random_range(0..8) {
            0 => self.tenancy.remove(self.now, place),
            1 => {
                let part = self.rng.random_bool(0.5).then_some(0.4);
                self.tenancy.tell_part(part);
            }
            2 => {
                self.tenancy.carried(self.now, place);
                self.standing.push(place);
            }
            _ => {
                let connections = self.rng.random_range(0.0..80.0);
                let limits = Limits::new(connections, connections / 8.0).expect("in range");
                self.tenancy.set(self.now, place, Some(limits));
            }
        }
    }

    fn step(&mut self) {
        self.now += self.rng.random_range(1_000..60_000);
        match self.rng.random_range(0..200) {
            0..100 => self.ask(),
            100..150 => self.settle(),
            150..198 => self.end(),
            _ => self.change(),
        }
        if self.tenancy.next_due().is_some_and(|due| due <= self.now) {
            for moves in self.tenancy.due(self.now) {
                write!(self.out, " {}>{}", moves.place.0, moves.count).expect("memory");
                if moves.count > 1 {
                    self.tenancy.not_moved(moves.place, 1);
                }
            }
        }
    }

    fn figures(&mut self) {
        let s = self.tenancy.stats(self.now);
        let all = (s.part, s.shares, s.used, s.lends_up_to, s.short, s.unknown);
        writeln!(self.out, "\n{} {all:?} {:?}", self.now, self.tenancy.next_due()).expect("memory");
        for (place, t) in s.tenants {
            let gauges = (t.share, t.own, t.used, t.borrowed, t.removed, t.lowered);
            let counts = (t.admitted, t.admitted_on_loan, t.refused, t.set_up, t.moved);
            let turned_away = Why::ALL.map(|why| t.turned_away_for(why));
            writeln!(self.out, "  {} {gauges:?} {counts:?} {turned_away:?}", place.0).expect("memory");
        }
    }

    fn play(mut self, events: u32) -> String {
        for event in 0..events {
            self.step();
            if event % STATS_EVERY == STATS_EVERY - 1 {
                self.figures();
            }
        }
        self.out
    }
}

#[test]
fn pinned_random_events_come_out_as_in_the_fixture() {
    let mut replayed = Replay::new(1, Terms::new(4.0), 0).play(3_000);
    let rationing = Terms { ration: true, moves_per_s: 40.0, ..Terms::new(2.0) };
    replayed.push_str(&Replay::new(2, rationing, 4).play(3_000));
    if replayed != FIXTURE {
        let actual = concat!(env!("CARGO_TARGET_TMPDIR"), "/tenancy-replay.txt");
        std::fs::write(actual, &replayed).expect("a temporary file");
        let line = replayed.lines().zip(FIXTURE.lines()).position(|(a, b)| a != b);
        panic!("the replay differs from the fixture, first in line {line:?}; it is in {actual}");
    }
}
