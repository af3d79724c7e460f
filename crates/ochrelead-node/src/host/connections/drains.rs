//! Reading a caller's input until it is drained. The engine requests this before an action that the caller's disconnect, its
//! next message or a change of the endpoint list would alter.

use std::collections::VecDeque;
use std::mem;

use async_io::Async;
use std::net::TcpStream;

use super::ConnectionTable;
use crate::host::connection::{ReadOutcome, Remote, is_closed_by_peer};
use crate::host::engine_handle::EngineHandle;
use crate::io::{CallerId, Input};

/// The maximum number of reads of one connection while its input is drained, so that one caller can't starve the others.
const MAX_READS_PER_ITERATION: usize = 16;

/// One caller's input that is being drained.
struct Drain {
    caller: CallerId,
    reads: usize,
}

/// The callers whose input is being drained.
#[derive(Default)]
pub(super) struct Drains {
    /// In this iteration, in the order of the requests.
    current: VecDeque<Drain>,
    /// Callers that have closed and whose input had more data than one iteration reads; the next one continues with them.
    postponed: Vec<CallerId>,
}

impl ConnectionTable {
    /// Starts to drain a caller's input.
    pub(in crate::host) fn drain_input(&mut self, caller: CallerId) {
        self.drains.current.push_back(Drain { caller, reads: 0 });
    }

    /// Continues the drains that the previous iteration did not complete.
    pub(in crate::host) fn resume_postponed_drains(&mut self) {
        for caller in mem::take(&mut self.drains.postponed) {
            self.drain_input(caller);
        }
    }

    /// Reads once for the first drain, and reports `InputDrained` if that completes it. Returns false if there is none. The
    /// answers to what was read should be written before the next call, so that they do not accumulate.
    pub(in crate::host) fn continue_drain(&mut self, engine: &mut EngineHandle) -> bool {
        let Some(Drain { caller, reads }) = self.drains.current.pop_front() else { return false };
        let remote = Remote::Caller(caller);
        let stream = self.stream(remote);
        let has_more = stream
            .as_ref()
            .is_some_and(|stream| self.read_once(engine, remote, stream) == ReadOutcome::Bytes);
        if has_more && reads + 1 < MAX_READS_PER_ITERATION {
            self.drains.current.push_front(Drain { caller, reads: reads + 1 });
        } else if has_more && stream.is_some_and(|stream| is_closed_by_peer(&stream)) {
            // All of its input is read, so that nothing is done for a caller that has closed. A caller that has not may
            // never stop writing: what it requested before would not be carried out.
            self.drains.postponed.push(caller);
            engine.wake();
        } else {
            self.read_watches(engine);
            engine.handle_input(Input::InputDrained(caller));
        }
        true
    }

    /// Reads what the coordinator has sent, so that a node that was paused learns of a drain before it sends INVITEs.
    fn read_watches(&mut self, engine: &mut EngineHandle) {
        for watch in self.watches.clone() {
            let remote = Remote::Coordinator(watch);
            if let Some(stream) = self.stream(remote) {
                self.read_all_of(engine, remote, &stream);
            }
        }
    }

    fn read_all_of(&mut self, engine: &mut EngineHandle, remote: Remote, stream: &Async<TcpStream>) {
        let mut reads = 0;
        while reads < MAX_READS_PER_ITERATION && self.read_once(engine, remote, stream) == ReadOutcome::Bytes
        {
            reads += 1;
        }
    }
}
