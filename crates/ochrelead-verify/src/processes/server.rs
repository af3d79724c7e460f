//! A server that takes connections and says nothing, but for a refusal to whoever comes with a number that is too low.
//! It keeps each act as it came.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Instant;

use ochrelead_lease::FencingToken;
use ochrelead_node::fencing::{self, format_token, parse_token};

/// An act that reached the server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Taken {
    /// When it was judged, and when it had left: earlier where it was late on its way.
    pub at: Instant,
    pub left: Instant,
    pub number: FencingToken,
    /// The connection it came on, counted: one front's own.
    pub connection: u64,
    pub refused: bool,
}

#[derive(Default)]
struct Held {
    /// It takes all, to show what fronts would do to one that checks nothing.
    trusts: bool,
    /// A front whose acts are late on their way, and those that wait.
    late: Option<u32>,
    waiting: Vec<Act>,
    acts: Vec<Taken>,
    highest: Option<FencingToken>,
}

/// An act on its way, and where its refusal would go.
struct Act {
    left: Instant,
    number: FencingToken,
    connection: u64,
    out: TcpStream,
    ids: String,
}

pub struct Server {
    address: SocketAddr,
    held: Arc<Mutex<Held>>,
}

impl Held {
    /// Takes an act, or refuses it.
    fn take(&mut self, mut act: Act) {
        let (number, connection, left) = (act.number, act.connection, act.left);
        let refused = self.highest.filter(|highest| number < *highest && !self.trusts);
        self.acts.push(Taken { at: Instant::now(), left, number, connection, refused: refused.is_some() });
        self.highest = self.highest.max(Some(number));
        if let Some(highest) = refused {
            let number = format!("{}: {}\r\n", fencing::TOKEN_HEADER, format_token(highest));
            let answer = format!("SIP/2.0 403 x\r\n{}{number}Content-Length: 0\r\n\r\n", act.ids);
            // One that has closed its connection reads nothing.
            let _ = act.out.write_all(answer.as_bytes());
        }
    }
}

fn serve(stream: TcpStream, connection: u64, held: &Mutex<Held>) -> io::Result<()> {
    let out = stream.try_clone()?;
    let mut lines = BufReader::new(stream);
    loop {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if lines.read_line(&mut head)? == 0 {
                return Ok(());
            }
        }
        let of =
            |name: &str| head.lines().find_map(|line| line.strip_prefix(name)).unwrap_or_default().trim();
        let mut body = vec![0; of("Content-Length:").parse().unwrap_or(0)];
        lines.read_exact(&mut body)?;
        if let Some(number) =
            parse_token(of(&format!("{}:", fencing::TOKEN_HEADER))).filter(|_| head.starts_with("OPTIONS"))
        {
            let ids = format!("Call-ID: {}\r\nCSeq: {}\r\n", of("Call-ID:"), of("CSeq:"));
            let act = Act { left: Instant::now(), number, connection, out: out.try_clone()?, ids };
            let mut held = held.lock().expect("no panic under the lock");
            if held.late == Some(number.holder.front) {
                held.waiting.push(act);
            } else {
                held.take(act);
            }
        }
    }
}

impl Server {
    /// # Errors
    ///
    /// Where no port is free.
    pub fn start() -> io::Result<Server> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let held = Arc::new(Mutex::new(Held::default()));
        let shared = held.clone();
        thread::spawn(move || {
            for (nth, stream) in listener.incoming().flatten().enumerate() {
                let held = shared.clone();
                thread::spawn(move || serve(stream, nth as u64, &held));
            }
        });
        Ok(Server { address, held })
    }

    fn held(&self) -> MutexGuard<'_, Held> {
        self.held.lock().expect("no panic under the lock")
    }

    /// From now on it takes all acts, whatever their number.
    pub fn trust(&self) {
        self.held().trusts = true;
    }

    /// From now on the acts of a front are late on their way, until another or none is named.
    pub fn late(&self, front: Option<u32>) {
        let mut held = self.held();
        held.late = front;
        for act in std::mem::take(&mut held.waiting) {
            held.take(act);
        }
    }

    /// Acts that have left and not arrived.
    pub fn waiting(&self) -> usize {
        self.held().waiting.len()
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// All acts so far, in the order in which they came.
    pub fn acts(&self) -> Vec<Taken> {
        self.held().acts.clone()
    }

    /// What must hold of the acts at every moment, whatever the timing.
    ///
    /// # Errors
    ///
    /// In the words of a finding.
    pub fn verdict(&self) -> Result<(), String> {
        verdict(&self.acts())
    }
}

/// Judges acts in the order in which they came: numbers of those that were taken never fall; a connection brings the
/// acts of one front in one life; of a number that was refused, one act at the most leaves after that, for by then its
/// front has read the refusal; and no life of a front goes back to a lower number.
///
/// # Errors
///
/// In the words of a finding.
pub fn verdict(acts: &[Taken]) -> Result<(), String> {
    let mut highest: Option<FencingToken> = None;
    for (nth, act) in acts.iter().enumerate() {
        if !act.refused {
            if highest.is_some_and(|highest| act.number < highest) {
                return Err(format!("act {nth}: {:?} was taken after {highest:?}", act.number));
            }
            highest = Some(act.number);
        }
        let before = &acts[..nth];
        let stranger = before
            .iter()
            .find(|other| other.connection == act.connection && other.number.holder != act.number.holder);
        if let Some(other) = stranger {
            return Err(format!("act {nth}: {:?} came where {:?} had", act.number, other.number));
        }
        let of_this = || before.iter().filter(|other| other.number.holder == act.number.holder);
        // Such as left after a refusal: the first may have crossed it.
        let deaf = acts[..=nth].iter().filter(|own| {
            let refused = |other: &Taken| other.refused && other.number == act.number && other.at < own.left;
            own.refused && own.number == act.number && before.iter().any(refused)
        });
        if deaf.count() > 1 {
            return Err(format!("act {nth}: {:?} had been refused twice", act.number));
        }
        if of_this().any(|other| other.number > act.number) {
            return Err(format!("act {nth}: its front had acted under more than {:?}", act.number));
        }
    }
    Ok(())
}

/// How long acts of former holders still came after the first of the next, at the most, leaving those fronts out that
/// the rig made stand still; in ms. A number that came first when a higher one had been seen is no former holder's: the
/// voters had forgotten, and it is refused.
pub fn overlap(acts: &[Taken], halted: &[u32]) -> u64 {
    let mut first: Vec<(FencingToken, Instant)> = Vec::new();
    let mut longest = 0;
    for act in acts {
        if !first.iter().any(|(number, _)| *number == act.number) {
            first.push((act.number, act.at));
        }
        let own = first.iter().find(|(number, _)| *number == act.number).map_or(act.at, |(_, at)| *at);
        let higher = first.iter().filter(|(number, at)| *number > act.number && *at > own);
        let next = higher.map(|(_, at)| *at).min();
        if let Some(next) = next.filter(|_| !halted.contains(&act.number.holder.front)) {
            longest = longest.max(act.at.saturating_duration_since(next).as_millis() as u64);
        }
    }
    longest
}
