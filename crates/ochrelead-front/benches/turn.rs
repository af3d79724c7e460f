//! Benchmarks one session in the engine, from its caller's NTFY to the end of its release, while many others are
//! established.

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

/// An engine with servers and gateways that answer at once.
struct Harness {
    engine: Engine,
    now_us: u64,
    calls: u32,
    circuits: u32,
}

impl Harness {
    fn new() -> Harness {
        let config = front_config::parse("bench", SETTINGS).expect("sound settings");
        let now = Moment::from_micros(1_000_000);
        let controller = Controller::new(&config.controller, now);
        Harness {
            engine: Engine::new(config, Box::new(controller), 1, now),
            now_us: 1_000_000,
            calls: 0,
            circuits: 0,
        }
    }

    fn receive(&mut self, from: &str, bytes: &[u8]) {
        self.now_us += 20;
        let from: SocketAddr = from.parse().expect("an address");
        self.engine.handle_datagram(Moment::from_micros(self.now_us), from, bytes);
        self.engine.process(Moment::from_micros(self.now_us));
    }

    /// Answers all commands of the front, as server and gateway would.
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
                self.receive(&to.to_string(), &bytes);
            }
        }
        while self.engine.poll_event().is_some() {}
    }

    fn call(&mut self) -> u32 {
        self.calls += 1;
        let id = self.calls;
        let events = "L/hd, D/1, D/0, D/0, D/4, D/7, D/1, D/1";
        let bytes =
            format!("NTFY {id} a/{id}@g MGCP 1.0\r\nX: 1\r\nX-Try: {id:x}\r\nI: 1\r\nO: {events}\r\n");
        self.receive("127.0.0.1:3", bytes.as_bytes());
        self.answer_all();
        id
    }

    fn hang_up(&mut self, id: u32) {
        let bytes = format!("NTFY {} a/{id}@g MGCP 1.0\r\nX-Try: {id:x}\r\nO: L/hu\r\n", 500_000_000 + id);
        self.receive("127.0.0.1:3", bytes.as_bytes());
        self.answer_all();
    }
}

fn session(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("a session with so many standing");
    group.sample_size(20);
    for established in [10, 1_000, 100_000] {
        let mut harness = Harness::new();
        (0..established).for_each(|_| {
            harness.call();
        });
        assert!(harness.engine.load().sessions > established / 2, "most stand: {:?}", harness.engine.load());
        group.bench_function(BenchmarkId::from_parameter(established), |bencher| {
            bencher.iter(|| {
                let id = harness.call();
                harness.hang_up(black_box(id));
            });
        });
    }
}

criterion_group!(benches, session);
criterion_main!(benches);
