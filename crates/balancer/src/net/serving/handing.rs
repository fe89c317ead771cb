//! Standing connections that go on in another process of this balancer, and those that come from one.

use std::os::fd::AsFd;

use mio::net::TcpStream;
use shorewharf_decisions::interface::{Outcome, Request, RequestId, ServerId};
use shorewharf_driver::{Happening, Req};

use super::Serving;
use crate::net::clients::session::Session;
use crate::net::handover::heirs::Heirs;
use crate::net::handover::words::Standing;
use crate::net::servers::fetches::Fetch;
use crate::net::turn::Turn;

/// The name that stands at this place.
fn name(names: &std::collections::HashMap<String, usize>, place: usize) -> String {
    names.iter().find(|(_, at)| **at == place).map_or_else(String::new, |(name, _)| name.clone())
}

impl Serving {
    /// Standing connections that can go on in another process as they are.
    pub fn can_go(&self) -> Vec<RequestId> {
        let mut can = self.sessions.those(Session::can_go);
        can.retain(|id| self.fetches.get(*id).is_some_and(Fetch::can_go));
        can
    }

    /// Hands one of them over, with what the module has of it; false where that can't be now.
    pub fn hand_over(
        &mut self,
        turn: &mut Turn,
        id: RequestId,
        (request, load): (Request, Option<f64>),
        heirs: &mut Heirs,
    ) -> bool {
        let (Some(s), Some(f)) = (self.sessions.get_mut(id), self.fetches.get_mut(id)) else { return false };
        let Some(open_id) = s.open_id() else { return false };
        let standing = Standing {
            client: s.from(),
            server: f.server().0,
            id: open_id,
            class: name(&self.terms.names.classes, request.class),
            tenant: name(&self.terms.names.tenants, request.tenant),
            key: request.key,
            group: request.group,
            hint: request.load,
            load,
            asked: s.asked_since(),
        };
        let (client, server) = (s.link.stream(), f.link.stream());
        let ends = [client.as_fd(), server.as_fd()];
        if !heirs.hand_over(&standing.line(), &ends) {
            return false;
        }
        // What is watched is the connection, which goes on, and not this process's descriptor of it.
        turn.poller.unwatch(&mut s.link);
        turn.poller.unwatch(&mut f.link);
        self.sessions.drop(turn, id);
        self.fetch_over(turn, id, Outcome::Cancelled);
        true
    }

    /// Takes in a connection that stood in another process; false where it could not be.
    pub fn take_over(
        &mut self,
        turn: &mut Turn,
        standing: Standing,
        client: TcpStream,
        server: TcpStream,
    ) -> bool {
        let names = &self.terms.names;
        let class = names.classes.get(&standing.class).copied();
        let tenant = names.tenants.get(&standing.tenant).copied().unwrap_or(0);
        let (fetches, asked) = (&self.fetches, standing.asked);
        let adopted =
            self.sessions.adopt(turn, client, standing.client, (standing.id, asked), |id| fetches.has(id));
        let Some(id) = adopted else { return false };
        let at = ServerId(standing.server);
        // Its server still answers: whoever can't go on here is told to come again, and not cut off.
        let Some(class) = class.filter(|_| self.fetches.adopt(turn, id, at, server)) else {
            self.answer(turn, id, b"MOVE\r\n");
            return false;
        };
        let (key, group, load) = (standing.key, standing.group, standing.hint);
        let req = Req { id, class, tenant, key, deadline: turn.now, load, group, returning: false };
        turn.tell(Happening::Carried(req, at));
        if let Some(load) = standing.load.filter(|load| load.is_finite() && *load > 0.0) {
            turn.tell(Happening::Load(id, load));
        }
        self.relay(turn, id);
        true
    }
}
