//! One session through the engine, from its caller's NTFY to the end of its release, beside many that stand.

use std::hint::black_box;
use std::net::SocketAddr;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use ochrelead_config::front_config;
use ochrelead_core::controller::Controller;
use ochrelead_core::time::Moment;
use ochrelead_front::engine::Engine;
use ochrelead_mgcp::message::{Message, Response, Verb};
use ochrelead_mgcp::{parse, write};

const SETTINGS: &str = r#"name: "f" listen: "127.0.0.1:1" fronts: 1 release_wait_ms: 200 most_held: 1000000
service { dialled: "1" value: 1 post_dial_target_ms: 1500 timer_limit_ms: 9000 }
server { name: "s0" address: "127.0.0.1:2" number: 0 dialled: "00" }
"#;

struct Rig {
    engine: Engine,
    now: u64,
    asked: u32,
    circuits: u32,
}

impl Rig {
    fn new() -> Rig {
        let commission = front_config::parse("bench", SETTINGS).expect("sound settings");
        let now = Moment::from_micros(1_000_000);
        let judge = Controller::new(&commission.controller, now);
        Rig {
            engine: Engine::new(commission, Box::new(judge), 1, now),
            now: 1_000_000,
            asked: 0,
            circuits: 0,
        }
    }

    fn take(&mut self, from: &str, bytes: &[u8]) {
        self.now += 20;
        let from: SocketAddr = from.parse().expect("an address");
        self.engine.handle_datagram(Moment::from_micros(self.now), from, bytes);
        self.engine.process(Moment::from_micros(self.now));
    }

    /// Answers all that the front asks, as server and gateway would.
    fn answer_all(&mut self) {
        while let Some((to, bytes)) = self.engine.poll_datagram() {
            for message in parse::datagram(&bytes).into_iter().flatten().flatten() {
                let Message::Command(command) = message else { continue };
                let mut response = Response::new(200, command.transaction);
                if command.verb == Verb::CreateConnection {
                    self.circuits += 1;
                    response = response
                        .with("I", self.circuits)
                        .with("Z", format!("trunk/{}@s0", self.circuits))
                        .with("X-Lines", "900000/1000000");
                }
                let bytes = write::datagram(&[Message::Response(response)]);
                self.take(&to.to_string(), &bytes);
            }
        }
        while self.engine.poll_event().is_some() {}
    }

    fn call(&mut self) -> u32 {
        self.asked += 1;
        let nth = self.asked;
        let events = "L/hd, D/1, D/0, D/0, D/4, D/7, D/1, D/1";
        let bytes =
            format!("NTFY {nth} a/{nth}@g MGCP 1.0\r\nX: 1\r\nX-Try: {nth:x}\r\nI: 1\r\nO: {events}\r\n");
        self.take("127.0.0.1:3", bytes.as_bytes());
        self.answer_all();
        nth
    }

    fn hang_up(&mut self, nth: u32) {
        let bytes = format!("NTFY {} a/{nth}@g MGCP 1.0\r\nX-Try: {nth:x}\r\nO: L/hu\r\n", 500_000_000 + nth);
        self.take("127.0.0.1:3", bytes.as_bytes());
        self.answer_all();
    }
}

fn turn(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("a session with so many standing");
    group.sample_size(20);
    for standing in [10, 1_000, 100_000] {
        let mut rig = Rig::new();
        (0..standing).for_each(|_| {
            rig.call();
        });
        assert!(rig.engine.load().sessions > standing / 2, "most stand: {:?}", rig.engine.load());
        group.bench_function(BenchmarkId::from_parameter(standing), |bencher| {
            bencher.iter(|| {
                let nth = rig.call();
                rig.hang_up(black_box(nth));
            });
        });
    }
}

criterion_group!(benches, turn);
criterion_main!(benches);
