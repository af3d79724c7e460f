//! A node with established calls, as several test files need it.

use ochrelead_node::io::{Output, ServerConnectionId};
use serde_json::json;

use super::{TestNode, call_id};

/// The address of server 1.
pub(crate) const SERVER_1: &str = "127.0.0.11";

/// A node with two established calls: call 7 of caller 1 at server 1, and call 8 of caller 2 at server 0.
pub(crate) struct EstablishedCalls {
    pub(crate) node: TestNode,
    /// The connection on which call 7 was set up.
    pub(crate) connection: ServerConnectionId,
    /// A surplus idle connection to server 1 that the node has half-closed and the server has not closed.
    pub(crate) half_closed: ServerConnectionId,
}

impl EstablishedCalls {
    pub(crate) fn new() -> EstablishedCalls {
        let mut node = TestNode::with_servers(2);
        (1..=2).for_each(|caller| node.connect_caller(caller));
        let connection = node.establish(1, 7, 1);
        node.establish(2, 8, 0);
        // The node keeps opening connections to a silent server, and its callers keep their connections open, until the
        // node half-closes a surplus connection.
        for _ in 0..40 {
            node.advance(500);
            let line = json!({"t": "wait", "ref": call_id(7), "f": {}});
            (1..=2).for_each(|caller| node.send_line(caller, &line));
            if node.half_closed_to_server_1().is_some() {
                break;
            }
        }
        assert_eq!(node.answers(), []);
        let half_closed = node.half_closed_to_server_1().expect("a half-closed connection");
        EstablishedCalls { node, connection, half_closed }
    }
}

impl TestNode {
    fn half_closed_to_server_1(&self) -> Option<ServerConnectionId> {
        self.outputs.iter().find_map(|output| match output {
            Output::HalfCloseServerConnection(connection) => {
                let address = self.connections.get(connection)?;
                (address == SERVER_1).then_some(*connection)
            }
            _ => None,
        })
    }

    pub(crate) fn connections_to_server_1(&self) -> Vec<ServerConnectionId> {
        let to_server = self.connections.iter().filter(|(_, address)| *address == SERVER_1);
        to_server.map(|(connection, _)| *connection).collect()
    }
}
