//! Restarts of a fleet's balancers, one after the other: each is to be back and knowing before the next goes. Decides only;
//! [`Fleet`] does what is to be done, and tells what is so.

use std::time::Duration;

/// What a balancer tells of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    /// It takes clients.
    pub ready: bool,
    /// Servers in its list.
    pub targets: u64,
    /// Of them, those that it avoids.
    pub avoided: u64,
}

impl Health {
    /// Whether it knows as much of the fleet as it did: half of the servers at least, and it does not avoid most of them. One that
    /// knew of none has nothing to learn.
    pub fn knows(self, before: Health) -> bool {
        self.ready && self.targets * 2 >= before.targets && self.avoided * 2 <= self.targets
    }
}

/// Those who are restarted.
pub trait Fleet {
    /// Restarts one and waits until that is done.
    ///
    /// # Errors
    /// Why that failed.
    fn restart(&mut self, balancer: usize) -> Result<(), String>;
    /// Asks one how it is.
    ///
    /// # Errors
    /// Why there is no answer.
    fn ask(&mut self, balancer: usize) -> Result<Health, String>;
    /// Lets time pass before the next look; how long.
    fn pause(&mut self) -> Duration;
}

/// How long to be patient.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// A balancer is to be back and knowing within this.
    pub within: Duration,
    /// It is to stay so for this long.
    pub settle: Duration,
}

/// What became of it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Restarted, back and knowing, in this order.
    pub done: Vec<usize>,
    /// The one where it stopped, and why.
    pub stopped: Option<(usize, String)>,
    /// Not restarted.
    pub left: Vec<usize>,
}

/// Restarts all of so many balancers in their order, as far as all goes well.
pub fn roll(fleet: &mut impl Fleet, balancers: usize, terms: Terms) -> Report {
    let mut report = Report { left: (0..balancers).collect(), ..Report::default() };
    while let Some(next) = report.left.first().copied() {
        // Nobody is restarted while another one is not well: the rest would carry the share of both.
        let before = match well(fleet, balancers) {
            Ok(healths) => healths[next],
            Err(stopped) => {
                report.stopped = Some(stopped);
                return report;
            }
        };
        report.left.remove(0);
        if let Err(why) = fleet.restart(next).and_then(|()| back(fleet, next, before, terms)) {
            report.stopped = Some((next, why));
            return report;
        }
        report.done.push(next);
    }
    report
}

fn well(fleet: &mut impl Fleet, balancers: usize) -> Result<Vec<Health>, (usize, String)> {
    let one = |balancer| match fleet.ask(balancer) {
        Ok(health) if health.ready => Ok(health),
        Ok(_) => Err((balancer, "it does not take clients".to_owned())),
        Err(why) => Err((balancer, why)),
    };
    (0..balancers).map(one).collect()
}

/// Waits until one is back and knowing, and has stayed so.
fn back(fleet: &mut impl Fleet, balancer: usize, before: Health, terms: Terms) -> Result<(), String> {
    let (mut waited, mut well_for) = (Duration::ZERO, None);
    loop {
        let said = fleet.ask(balancer);
        match &said {
            Ok(health) if health.knows(before) => {
                let since = *well_for.get_or_insert(waited);
                if waited - since >= terms.settle {
                    return Ok(());
                }
            }
            _ => well_for = None,
        }
        // One that is well by then is given the time to stay so.
        if waited >= terms.within && well_for.is_none() {
            let seconds = terms.within.as_secs_f64();
            return Err(match said {
                Ok(h) if !h.ready => format!("it does not take clients after {seconds} s"),
                Ok(h) => format!(
                    "after {seconds} s it knows {} servers, {} of them avoided, and knew {} before",
                    h.targets, h.avoided, before.targets
                ),
                Err(why) => format!("after {seconds} s: {why}"),
            });
        }
        waited += fleet.pause();
    }
}
