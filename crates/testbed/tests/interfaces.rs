//! What operators and clients are told, good input and bad, by real processes. Needs the workspace
//! to be built: `cargo build --workspace`.

use loadgen::{Outcome, PlannedRequest, send_planned};
use serde_json::Value;
use simulator::{Deployment, ScheduleRules, ServerFault};
use std::process::Command;
use testbed::{Daemon, DaemonCommand, Fleet, FleetOptions, ProcessGroup, free_ports, plan_of};
use transport::{http_post, read_all};
use types::{Address, Milliseconds, RunId, ServerName, TokenKey};

const PATIENCE: Milliseconds = Milliseconds::seconds(30);

fn json(response: Result<(u16, Vec<u8>), String>) -> (u16, Value) {
    let (status, body) = response.expect("a response");
    (status, serde_json::from_slice(&body).unwrap_or_default())
}

fn program(name: &str) -> Command {
    Command::new(FleetOptions::default().programs.join(name))
}

#[test]
fn operators_and_clients_are_told_what_became_of_each_thing() {
    let deployment = Deployment::Pahana;
    let shape = deployment.shape();
    let process_group =
        ProcessGroup::start(&shape, &ScheduleRules::default()).expect("stand-ins start");
    let fleet = Fleet::start(
        &shape,
        process_group.platform.address,
        None,
        &FleetOptions::default(),
    )
    .expect("daemons start");
    fleet.await_core(PATIENCE).expect("the core forms");
    let (controller, other) = (&fleet.controllers[0], &fleet.controllers[2]);

    // Plans: whole, changed, repeated, racing, faulty.
    let plan = plan_of(deployment, true);
    let put = |id: &str, builds_on: u64, body: &str| {
        json(controller.ask(
            "PUT",
            &format!("/v1/plan?id={id}&builds_on={builds_on}"),
            body.as_bytes().to_vec(),
        ))
    };
    let (status, first) = put("p1", 0, &plan);
    assert_eq!((status, &first["code"]), (200, &300.into()), "{first}");
    let epoch = first["epoch"].as_u64().expect("an epoch");
    fleet.await_routers(PATIENCE).expect("routers are ready");
    assert_eq!(
        put("p1", 0, &plan),
        (200, Value::clone(&put("p1", 0, &plan).1))
    );
    assert_eq!(
        put("p1", 0, &plan).1["epoch"],
        epoch,
        "a repeat is told the first one's epoch"
    );
    assert_eq!(put("p1", epoch, "{\"services\":{}}").1["code"], 308);
    assert_eq!(put("p2", 0, &plan).1["code"], 302);
    assert_eq!(json(other.get("/v1/fates/p1")).1["epoch"], epoch);
    assert_eq!(
        json(other.get("/v1/fates/p2")),
        (404, json(other.get("/v1/fates/p2")).1)
    );
    let faulty = r#"{"services":{"a":{"slots":0,"btb":{"x":1}},"b":{"kind":"stream"}}}"#;
    let (status, outcome) = put("p3", epoch, faulty);
    let paths: Vec<&str> = outcome["faults"]
        .as_array()
        .expect("faults")
        .iter()
        .filter_map(|f| f["path"].as_str())
        .collect();
    assert_eq!(
        (status, paths),
        (422, vec!["services.a.slots", "services.a.btb.x"])
    );
    let change = br#"{"note":"changed"}"#.to_vec();
    let changed = json(other.ask(
        "PATCH",
        &format!("/v1/plan?id=c1&builds_on={epoch}"),
        change.clone(),
    ))
    .1;
    let changed_epoch = changed["epoch"].as_u64().expect("accepted");
    assert_eq!(
        controller.get(&format!("/v1/plans/{epoch}")).unwrap().1,
        plan.as_bytes(),
        "reads back as sent"
    );
    assert_eq!(
        controller
            .get(&format!("/v1/plans/{changed_epoch}"))
            .unwrap()
            .1,
        change
    );
    let whole = json(controller.get("/v1/plan")).1;
    assert_eq!(
        (
            &whole["note"],
            whole["services"].as_object().map(|s| s.len())
        ),
        (&"changed".into(), Some(3))
    );
    for (method, path, code) in [
        ("GET", "/v1/plans/999", 305),
        ("GET", "/v1/plans/x", 305),
        ("POST", "/v1/zones/nowhere/withdraw?id=w1", 306),
        ("POST", "/v1/zones/east/withdraw", 301),
        ("PUT", "/v1/plan?id=p9", 301),
        ("PUT", "/v1/plan?id=p9&builds_on=x", 301),
        ("GET", "/v2", 113),
    ] {
        assert_eq!(
            json(controller.ask(method, path, plan.clone().into_bytes())).1["code"],
            code,
            "{method} {path}"
        );
    }
    // The command line does the same.
    let admin = |words: &[&str]| {
        let output = program("controller")
            .args(["admin", "--at", &controller.listen.to_string()])
            .args(words)
            .output();
        let output = output.expect("it runs");
        (
            output.status.code(),
            serde_json::from_slice::<Value>(&output.stdout).unwrap_or_default(),
        )
    };
    assert_eq!(admin(&["withdraw", "east", "--id", "w1"]).0, Some(0));
    assert_eq!(
        admin(&["latest"]).1["withdrawn"],
        serde_json::json!(["east"])
    );
    assert_eq!(admin(&["withdraw", "nowhere", "--id", "w2"]).0, Some(1));
    assert_eq!(admin(&["restore", "east", "--id", "w3"]).0, Some(0));
    assert_eq!(
        program("controller")
            .args(["admin", "--at", "127.0.0.1:1", "latest"])
            .status()
            .unwrap()
            .code(),
        Some(3)
    );

    // Clients.
    let router = &fleet.routers[0];
    let request = |body: &[u8]| json(router.ask("POST", "/v1/requests", body.to_vec()));
    for (body, status, code) in [
        (&b"{"[..], 400, 100),
        (b"\xff\xfe", 400, 100),
        (
            br#"{"id":"a","service":"drafts","prompt":"x","colour":"red"}"#,
            400,
            100,
        ),
        (br#"{"id":"a b","service":"drafts","prompt":"x"}"#, 400, 100),
        (br#"{"id":"a","service":"nobody","prompt":"x"}"#, 404, 101),
        (br#"{"id":"a","service":"pages","prompt":"x"}"#, 404, 101),
    ] {
        let (got, value) = request(body);
        assert_eq!(
            (got, &value["code"], &value["ran"]),
            (status, &code.into(), &Value::Bool(false)),
            "{value}"
        );
    }
    let large = vec![b'x'; 5 << 20];
    assert_eq!(
        router
            .ask("POST", "/v1/requests", large)
            .map(|(status, _)| status),
        Ok(413)
    );
    for (token, code) in [("zz", 111), ("00", 111), ("", 111)] {
        let body = serde_json::json!({"token": token, "from": 0})
            .to_string()
            .into_bytes();
        assert_eq!(json(router.ask("POST", "/v1/resume", body)).1["code"], code);
    }
    // Events in, decisions out, and the same decisions again from the recording.
    let planned = PlannedRequest {
        id: "seen".into(),
        service: "drafts",
        is_fetch: false,
        prompt: "x".repeat(5000),
        pieces: 3,
    };
    assert_eq!(
        send_planned(&planned, &[router.listen], 0).outcome,
        Outcome::Complete
    );
    let pushed = br#"{"event":"unreachable","server":"127.0.0.1:9"}"#.to_vec();
    assert_eq!(
        json(router.ask("POST", "/v1/events", pushed)),
        (200, serde_json::json!({"taken": 1}))
    );
    let forbidden = br#"{"event":"members","members":[]}"#.to_vec();
    assert_eq!(json(router.ask("POST", "/v1/events", forbidden)).0, 400);
    let recorded = router.get("/v1/events?after=0").expect("events").1;
    let decisions =
        String::from_utf8(router.get("/v1/decisions?after=0").expect("decisions").1).expect("text");
    let mut replayed = vec![];
    router::replay(&recorded[..], &mut replayed).expect("it can be played");
    let replayed = String::from_utf8(replayed).expect("text");
    let live: Vec<Value> = decisions
        .lines()
        .map(|line| {
            let mut value: Value = serde_json::from_str(line).expect("JSON");
            let fields = value.as_object_mut().expect("an object");
            assert!(fields.remove("cursor").is_some() && fields.remove("at").is_some());
            value
        })
        .collect();
    let again: Vec<Value> = replayed
        .lines()
        .map(|line| serde_json::from_str(line).expect("JSON"))
        .collect();
    assert!(
        live.iter()
            .any(|d| d["decision"] == "placed" && d["request"] == "seen" && d["epoch"].is_u64()),
        "{decisions}"
    );
    assert_eq!(
        again[..live.len()],
        live[..],
        "the same events gave other decisions"
    );
}

/// What a router says to a body: status, when to come back, JSON lines.
fn say(router: Address, path: &str, body: &Value) -> (u16, Option<u64>, Vec<Value>) {
    let heard = http_post(
        &format!("http://{router}{path}"),
        body.to_string().into_bytes(),
        PATIENCE,
        PATIENCE,
    );
    let heard = heard.expect("a response");
    let (status, back) = (
        heard.status(),
        heard
            .header("retry-after")
            .and_then(|value| value.parse().ok()),
    );
    let text = String::from_utf8(read_all(heard, 1 << 20).expect("a whole body")).expect("text");
    (
        status,
        back,
        text.lines()
            .map(|line| serde_json::from_str(line).expect("JSON"))
            .collect(),
    )
}

#[test]
fn a_token_is_good_for_its_own_run_alone_and_a_run_out_of_reach_is_not_lost() {
    let deployment = Deployment::Valodu;
    let shape = deployment.shape();
    let process_group =
        ProcessGroup::start(&shape, &ScheduleRules::default()).expect("stand-ins start");
    let mut fleet = Fleet::start(
        &shape,
        process_group.platform.address,
        None,
        &FleetOptions::default(),
    )
    .expect("daemons start");
    fleet.await_core(PATIENCE).expect("the core forms");
    fleet
        .put_plan("first", 0, &plan_of(deployment, true))
        .expect("accepted");
    fleet.await_routers(PATIENCE).expect("routers are ready");
    let routers = fleet.clients_addresses();
    let draw = |id: &str| {
        let request =
            serde_json::json!({"id": id, "service": "reviews", "prompt": id, "max_pieces": 6});
        let (status, _, lines) = say(routers[0], "/v1/requests", &request);
        assert_eq!(status, 200, "{lines:?}");
        lines
    };
    let (one, other) = (draw("one"), draw("other"));
    let token_of = |lines: &[Value]| lines[0]["token"].as_str().expect("a token").to_owned();
    let resume = |router: Address, token: &str, from: u64| {
        say(
            router,
            "/v1/resume",
            &serde_json::json!({"token": token, "from": from}),
        )
    };
    // Anywhere, from any piece, twice at once, each exactly what is missing.
    let token = &token_of(&one);
    let (router_2, router_3) = (routers[2], routers[3]);
    let again: Vec<_> = std::thread::scope(|scope| {
        let reads = [(router_2, 0), (router_3, 0), (router_2, 3), (router_3, 6)];
        let readers =
            reads.map(|(router, from)| (from, scope.spawn(move || resume(router, token, from))));
        readers
            .into_iter()
            .map(|(from, reader)| (from, reader.join().expect("it ends")))
            .collect()
    });
    for (from, (status, _, lines)) in again {
        assert_eq!((status, &lines[1..]), (200, &one[1 + from as usize..]));
    }
    // Forged, altered, and a neighbour's words behind one's own check: no byte leaves for what they name.
    let trap = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    trap.set_nonblocking(true).expect("it can be asked");
    let forged = router::Token {
        request: "one".into(),
        service: "reviews".into(),
        server: ServerName(trap.local_addr().expect("an address").to_string()),
        run: RunId(one[0]["run"].as_str().expect("a run").to_owned()),
    };
    let spliced = format!("{}{}", &token[..64], &token_of(&other)[64..]);
    let mut altered = token.clone();
    altered.replace_range(100..101, if &altered[100..101] == "7" { "6" } else { "7" });
    for bad in [
        forged.seal(&TokenKey([0; 32])),
        spliced,
        altered,
        token[2..].to_owned(),
        String::new(),
    ] {
        let (status, _, lines) = resume(router_2, &bad, 0);
        assert_eq!((status, &lines[0]["code"]), (400, &111.into()), "{bad}");
    }
    assert!(
        trap.accept().is_err(),
        "a connection was made to what a forged token names"
    );
    // Its id is not taken a second time here, and that is no refusal.
    let request =
        serde_json::json!({"id": "one", "service": "reviews", "prompt": "one", "max_pieces": 6});
    let (status, _, lines) = say(routers[0], "/v1/requests", &request);
    assert_eq!(
        (status, &lines[0]["code"], &lines[0]["ran"]),
        (409, &204.into(), &"unknown".into())
    );
    // Nor does it end one that runs: the scheduler goes on counting it.
    let busy = || fleet.routers[0].believes()["open_requests"].as_u64();
    let counted = || {
        let servers = fleet.routers[0].believes()["servers"].clone();
        servers.as_object().map(|all| {
            all.values()
                .filter_map(|server| server["own_requests"].as_u64())
                .sum::<u64>()
        })
    };
    let long = serde_json::json!({"id": "long", "service": "reviews", "prompt": "long", "max_pieces": 400});
    let heard = http_post(
        &format!("http://{}/v1/requests", routers[0]),
        long.to_string().into_bytes(),
        PATIENCE,
        PATIENCE,
    );
    let heard = heard.expect("a response");
    assert_eq!((busy(), counted()), (Some(1), Some(1)));
    assert_eq!(say(routers[0], "/v1/requests", &long).2[0]["code"], 204);
    assert_eq!(
        (busy(), counted()),
        (Some(1), Some(1)),
        "the one turned away ended the one in hand"
    );
    assert!(read_all(heard, 1 << 20).is_ok());
    // A router that has just been started again reads it on, too.
    fleet.routers[1].kill();
    fleet.routers[1].start().expect("it starts");
    let is_read = || {
        let router = &fleet.routers[1];
        let Ok((200, _)) = router.get("/metrics") else {
            return false;
        };
        let (status, back, lines) = resume(router.listen, token, 4);
        // Until it knows the fleet's key and the servers it says so, and that coming back helps.
        let is_early = status == 503 && back == Some(1) && lines[0]["code"] == 105;
        assert!(status == 200 || is_early, "{status} {lines:?}");
        status == 200 && lines[1..] == one[5..]
    };
    Fleet::await_that(PATIENCE, "a restarted router reads on", is_read).expect("it does");
    // Its server out of reach: come back. Its server there without the run: gone for good.
    let holder = process_group
        .models
        .iter()
        .find(|server| server.has_run(&forged.run))
        .expect("a server has the run");
    holder.inject_fault(ServerFault {
        does_refuse: true,
        ..ServerFault::default()
    });
    let (status, back, lines) = resume(router_2, token, 0);
    assert_eq!(
        (status, back, &lines[0]["code"]),
        (503, Some(1), &205.into())
    );
    holder.inject_fault(ServerFault::default());
    assert_eq!(resume(router_2, token, 0).0, 200, "nothing was lost");
    holder.forget_runs();
    let (status, back, lines) = resume(router_2, token, 0);
    assert_eq!((status, back, &lines[0]["code"]), (410, None, &202.into()));
    assert_eq!(process_group.logs().len(), 3, "nothing ran twice");
}

#[test]
fn bad_settings_end_with_2_and_name_the_field_the_value_and_what_is_allowed() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("settings.toml");
    for (name, text, words) in [
        (
            "router",
            "listen = \"localhost:1\"",
            vec!["listen", "localhost:1", "IP number"],
        ),
        (
            "router",
            "requests = 0",
            vec!["requests", "0", "1 to 1000000"],
        ),
        ("router", "zone = \"a b\"", vec!["zone", "a b", "letters"]),
        ("router", "colour = \"red\"", vec!["colour"]),
        ("router", "requests = \"many\"", vec!["requests"]),
        (
            "controller",
            "founders = [\"nowhere\"]",
            vec!["founders", "nowhere"],
        ),
        ("controller", "listen", vec!["settings"]),
    ] {
        std::fs::write(&file, text).expect("written");
        let output = program(name)
            .args(["serve", "--settings"])
            .arg(&file)
            .output()
            .expect("it runs");
        let said = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(
            output.status.code(),
            Some(2),
            "{name} with `{text}`: {said}"
        );
        words
            .iter()
            .for_each(|word| assert!(said.contains(word), "{name} with `{text}` said: {said}"));
    }
}

/// Nothing could come to name a seed.
#[test]
fn a_router_without_a_settings_file_ends_with_2_and_names_the_seeds() {
    let output = program("router").arg("serve").output().expect("it runs");
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(2), "{stderr}");
    assert!(stderr.contains("seeds"), "{stderr}");
}

/// Its settings file may come to name one without a signal. It ended before, with 2.
#[test]
fn a_router_whose_settings_file_names_no_seed_says_so_and_waits() {
    let folder = tempfile::tempdir().expect("a folder");
    let (settings, log) = (
        folder.path().join("router.toml"),
        folder.path().join("router.log"),
    );
    let ports = free_ports(2).expect("ports");
    let (listen, inner) = (Address::loopback(ports[0]), Address::loopback(ports[1]));
    let toml =
        |seeds: &str| format!("listen = \"{listen}\"\ninner = \"{inner}\"\nseeds = [{seeds}]\n");
    std::fs::write(&settings, toml("")).expect("written");
    let command = DaemonCommand {
        program: FleetOptions::default().programs.join("router"),
        arguments: vec![
            "serve".into(),
            "--settings".into(),
            settings.to_string_lossy().into_owned(),
        ],
        environment: vec![],
    };
    let mut router = Daemon::new("router-0", "here", listen, inner, command, log.clone());
    router.start().expect("it starts");
    let await_log = |text: &str| {
        Fleet::await_that(PATIENCE, text, || {
            std::fs::read_to_string(&log).is_ok_and(|log| log.contains(text))
        })
        .expect("it is logged");
    };
    await_log("router: listens at");
    await_log("the settings name no seed");
    let readiness = router.get("/ready").expect("an answer");
    let body = String::from_utf8_lossy(&readiness.1).into_owned();
    assert_eq!(
        (readiness.0, body.as_str()),
        (503, "not ready: the settings name no seed\n")
    );
    std::fs::write(&settings, toml(&format!("\"{inner}\""))).expect("written");
    await_log("the settings name a seed now");
    assert!(router.is_running());
    router.request_stop();
    assert_eq!(router.wait(PATIENCE), Some(0));
}
