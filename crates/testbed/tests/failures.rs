//! Failures of real processes on loopback, as the BRIEF's rules see them. Needs the workspace to be
//! built: `cargo build --workspace`.

use loadgen::{
    LoadTest, LoadTestConfig, Outcome, PlannedRequest, Report, RequestRecord, Workload,
    send_planned,
};
use simulator::{Deployment, ScheduleRules, ServerFault};
use std::cell::OnceCell;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex, MutexGuard};
use testbed::{Daemon, Fleet, FleetOptions, ProcessGroup, join_logs, plan_of};
use types::{Address, Clock, Milliseconds, MonotonicInstant, ResultCode};

const PATIENCE: Milliseconds = Milliseconds::seconds(30);

/// One fleet at a time: a dozen processes and their load are enough for one machine.
static MACHINE: Mutex<()> = Mutex::new(());

/// A fleet that serves, with its crew and its plan, and the machine for itself.
fn serving(deployment: Deployment) -> (ProcessGroup, Fleet, MutexGuard<'static, ()>) {
    let machine = MACHINE.lock().unwrap_or_else(|failed| failed.into_inner());
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
    fleet
        .put_plan("first", 0, &plan_of(deployment, true))
        .expect("the plan is accepted");
    fleet.await_routers(PATIENCE).expect("routers are ready");
    (process_group, fleet, machine)
}

/// Loads the fleet from a thread of its own while `meanwhile` does something to it.
fn under_load(
    deployment: Deployment,
    fleet: &mut Fleet,
    process_group: &ProcessGroup,
    seconds: u64,
    meanwhile: impl FnOnce(&mut Fleet),
) -> Report {
    let span = Milliseconds::seconds(seconds);
    let rules = LoadTestConfig {
        routers: fleet.clients_addresses(),
        span,
        scale: 0.4,
        max_in_flight: 500,
    };
    let campaign = LoadTest::new(Workload::new(deployment.mix(), seconds), rules);
    let stop = campaign.stop();
    let load = std::thread::spawn(move || campaign.run());
    meanwhile(fleet);
    stop.store(true, std::sync::atomic::Ordering::Relaxed);
    let (asked, late) = load.join().expect("the load ends");
    let mut report = Report::of(&asked, late);
    join_logs(
        &mut report,
        &asked,
        &process_group.logs(),
        &plan_of(deployment, true),
    );
    assert_eq!(report.violations, Vec::<String>::new(), "{report}");
    report
}

fn request(id: &str, service: &str, pieces: u32) -> Arc<PlannedRequest> {
    let service = if service == "drafts" {
        "drafts"
    } else {
        "questions"
    };
    Arc::new(PlannedRequest {
        id: id.into(),
        service,
        is_fetch: false,
        prompt: format!("a prompt of {id}"),
        pieces,
    })
}

/// Whether some router completes a request now.
fn serves(fleet: &Fleet, number: &mut u32) -> bool {
    *number += 1;
    let planned = request(&format!("probe-{number}"), "questions", 2);
    let asked = send_planned(&planned, &fleet.clients_addresses(), *number as usize);
    if asked.outcome != Outcome::Complete {
        eprintln!("{}: {:?} {}", planned.id, asked.outcome, asked.why);
    }
    asked.outcome == Outcome::Complete
}

#[test]
fn planned_restarts_and_plan_changes_drop_no_stream() {
    let deployment = Deployment::Pahana;
    let (process_group, mut fleet, _machine) = serving(deployment);
    let report = under_load(deployment, &mut fleet, &process_group, 60, |fleet| {
        let mut epoch = 0;
        for place in 0..fleet.routers.len() {
            let router = &mut fleet.routers[place];
            router.request_stop();
            if place == 0 {
                // Not ready at once, but clients that are still sent here are served.
                Fleet::await_that(PATIENCE, "a warned router is not ready", || {
                    !router.is_ready()
                })
                .expect("it says so");
                assert_eq!(
                    send_planned(&request("late", "questions", 2), &[router.listen], 0).outcome,
                    Outcome::Complete
                );
            }
            assert_eq!(router.wait(PATIENCE), Some(0), "{} ends well", router.name);
            router.start().expect("it starts again");
            let router = &fleet.routers[place];
            Fleet::await_that(PATIENCE, "a restarted router is ready", || {
                router.is_ready()
            })
            .expect("ready again");
            if place % 3 == 0 {
                let latest = fleet.controllers[0]
                    .get("/v1/latest")
                    .expect("the core tells")
                    .1;
                let latest: serde_json::Value = serde_json::from_slice(&latest).expect("JSON");
                epoch = latest["epoch"].as_u64().unwrap_or(epoch);
                fleet
                    .put_plan(&format!("again-{place}"), epoch, &plan_of(deployment, true))
                    .expect("accepted");
            }
        }
        for place in 0..fleet.controllers.len() {
            let controller = &mut fleet.controllers[place];
            controller.request_stop();
            assert_eq!(
                controller.wait(PATIENCE),
                Some(0),
                "{} ends well",
                controller.name
            );
            controller.start().expect("it starts again");
            fleet
                .await_core(PATIENCE)
                .expect("the chain is whole again");
        }
    });
    let sum =
        |pick: fn(&loadgen::ServiceReport) -> u64| report.services.values().map(pick).sum::<u64>();
    assert_eq!(
        (sum(|s| s.broken), sum(|s| s.resumed)),
        (0, 0),
        "streams were dropped: {report}"
    );
    assert!(sum(|s| s.complete) > 100, "{report}");
    // A router that has gone refuses connections: clients know that nothing ran.
    assert_eq!(sum(|s| s.unknown), 0, "{report}");
}

#[test]
fn streams_go_on_through_another_router_where_they_stopped_when_one_is_killed() {
    let deployment = Deployment::Pahana;
    let (process_group, mut fleet, _machine) = serving(deployment);
    let routers = fleet.clients_addresses();
    let knows_servers = |fleet: &Fleet| {
        let servers = fleet.routers[0].believes()["servers"].clone();
        servers.as_object().is_some_and(|all| {
            all.len() == 12 && all.values().filter(|s| s["incarnation"].is_u64()).count() == 12
        })
    };
    Fleet::await_that(PATIENCE, "the servers' reports", || knows_servers(&fleet))
        .expect("they report");
    let planned_requests: Vec<Arc<PlannedRequest>> = (0..6)
        .map(|n| request(&format!("long-{n}"), "drafts", 150))
        .collect();
    let requesters: Vec<_> = planned_requests
        .iter()
        .map(|planned| {
            let (planned, routers) = (planned.clone(), routers.clone());
            std::thread::spawn(move || send_planned(&planned, &routers, 0))
        })
        .collect();
    // Each client has its stream's head once its first piece was seen.
    let first_tokens = |fleet: &Fleet| {
        let events = fleet.routers[0]
            .get("/v1/events?after=0")
            .expect("events")
            .1;
        String::from_utf8_lossy(&events)
            .matches("\"event\":\"first_token\"")
            .count()
    };
    Fleet::await_that(PATIENCE, "the streams run", || first_tokens(&fleet) == 6).expect("they run");
    fleet.routers[0].kill();
    let asked: Vec<RequestRecord> = requesters
        .into_iter()
        .map(|requester| requester.join().expect("it ends"))
        .collect();
    for one in &asked {
        assert_eq!(one.violations, Vec::<String>::new());
        assert_eq!(one.outcome, Outcome::Complete);
    }
    assert!(
        asked.iter().all(|one| one.resumed > 0),
        "the streams were over before the router was killed"
    );
    assert_eq!(process_group.logs().len(), 6, "nothing ran twice");
}

#[test]
fn a_lost_core_does_not_stop_the_fleet_and_one_cut_off_stops() {
    let deployment = Deployment::Pahana;
    let (_crew, mut fleet, _machine) = serving(deployment);
    let mut number = 0;
    fleet
        .controllers
        .iter_mut()
        .for_each(|controller| controller.kill());
    let is_together = |fleet: &Fleet| {
        fleet
            .routers
            .iter()
            .all(|c| c.believes()["lease_state"] == "together")
    };
    Fleet::await_that(PATIENCE, "leases run out", || is_together(&fleet))
        .expect("routers go on together");
    assert!(
        (0..9).all(|_| serves(&fleet, &mut number)),
        "the fleet serves without its core"
    );
    assert!(
        fleet.put_plan("late", 0, "{}").is_err(),
        "a plan is accepted by nobody"
    );
    // All but one are gone: it's alone, whatever it believed before.
    fleet
        .routers
        .iter_mut()
        .skip(1)
        .for_each(|router| router.kill());
    let lone = fleet.clients_addresses()[..1].to_vec();
    Fleet::await_that(PATIENCE, "the lone router is not ready", || {
        !fleet.routers[0].is_ready()
    })
    .expect("it stops");
    let asked = send_planned(&request("lone", "questions", 2), &lone, 0);
    assert_eq!(
        asked.outcome,
        Outcome::Refused(u64::from(ResultCode::NotReady.number())),
        "{}",
        asked.why
    );
    // A restarted one knows nothing, core or not.
    fleet.routers[1].start().expect("it starts");
    Fleet::await_that(PATIENCE, "it listens", || {
        fleet.routers[1].get("/ready").is_ok()
    })
    .expect("it listens");
    assert_eq!(fleet.routers[1].believes()["lease_state"], "unheard");
    // With the core back, all is well again.
    fleet
        .controllers
        .iter_mut()
        .for_each(|controller| controller.start().expect("it starts"));
    fleet
        .routers
        .iter_mut()
        .skip(2)
        .for_each(|router| router.start().expect("it starts"));
    fleet.await_routers(PATIENCE).expect("all are ready again");
}

#[test]
fn everything_killed_comes_back_within_the_deadline_with_all_plans_byte_for_byte() {
    let deployment = Deployment::Valodu;
    let (_crew, mut fleet, _machine) = serving(deployment);
    let odd = r#"{ "services" : {"hints":{"resumable":false, "slots": 16}} ,"note":"spaces   and ünïcode"}"#;
    let outcome = fleet
        .put_plan("odd", 2, odd)
        .or_else(|_| fleet.put_plan("odd", 9, odd));
    let latest: serde_json::Value =
        serde_json::from_slice(&fleet.controllers[0].get("/v1/latest").unwrap().1).unwrap();
    let outcome = outcome
        .or_else(|_| fleet.put_plan("odd", latest["epoch"].as_u64().unwrap_or(0), odd))
        .expect("accepted")["epoch"]
        .clone();
    for daemon in fleet.controllers.iter_mut().chain(&mut fleet.routers) {
        daemon.kill();
    }
    // One disk is wiped besides.
    std::fs::remove_dir_all(fleet.folder.join("controller-1")).expect("it was there");
    let began = Clock::now();
    for daemon in fleet.controllers.iter_mut().chain(&mut fleet.routers) {
        daemon.start().expect("it starts");
    }
    let mut number = 0;
    let hints = |number: &mut u32| {
        *number += 1;
        let planned = PlannedRequest {
            id: format!("probe-{number}"),
            service: "hints",
            is_fetch: false,
            prompt: "short".into(),
            pieces: 2,
        };
        send_planned(&planned, &fleet.clients_addresses(), *number as usize).outcome
            == Outcome::Complete
    };
    Fleet::await_that(PATIENCE, "requests are served again", || hints(&mut number)).expect("back");
    let back = Clock::now().since(began);
    assert!(back.0 <= 12_000, "service was back after {} ms", back.0);
    fleet
        .await_core(PATIENCE)
        .expect("the wiped one is admitted again");
    for controller in &fleet.controllers {
        let (status, body) = controller
            .get(&format!("/v1/plans/{outcome}"))
            .expect("it responds");
        assert_eq!(
            (status, String::from_utf8_lossy(&body).as_ref()),
            (200, odd),
            "at {}",
            controller.name
        );
    }
}

#[test]
fn frozen_machines_wake_into_a_fleet_that_went_on_and_do_no_harm() {
    let deployment = Deployment::Pahana;
    let (process_group, mut fleet, _machine) = serving(deployment);
    fleet
        .await_settled_membership(PATIENCE)
        .expect("the membership is settled");
    let zone = fleet.routers[2].zone.clone();
    under_load(deployment, &mut fleet, &process_group, 30, |fleet| {
        // A router and the tail sleep while the router's zone is withdrawn.
        fleet.routers[0].freeze();
        let is_tail = |d: &&Daemon| d.believes()["may_respond"] == true;
        let tail = fleet
            .controllers
            .iter()
            .position(|d| is_tail(&d))
            .expect("there is a tail");
        fleet.controllers[tail].freeze();
        let others: Vec<usize> = (0..fleet.controllers.len())
            .filter(|place| *place != tail)
            .collect();
        let path = format!("/v1/zones/{zone}/withdraw?id=sleep");
        let withdrawn = || {
            others.iter().any(|p| {
                matches!(
                    fleet.controllers[*p].ask("POST", &path, vec![]),
                    Ok((200, _))
                )
            })
        };
        Fleet::await_that(
            PATIENCE,
            "the zone is withdrawn without the tail",
            withdrawn,
        )
        .expect("accepted");
        let told = Clock::now();
        fleet.routers[0].wake();
        fleet.controllers[tail].wake();
        fleet
            .await_core(PATIENCE)
            .expect("the old tail is back in the chain");
        // Time for new work to show up where it must not.
        let deadline = told + Milliseconds::seconds(7);
        Fleet::await_that(Milliseconds::seconds(8), "seven seconds", || {
            Clock::now() >= deadline
        })
        .expect("time goes by");
        let late: Vec<MonotonicInstant> = (0..process_group.models.len())
            .filter(|place| deployment.shape().zones[place % 3] == zone)
            .flat_map(|place| process_group.models[place].log())
            .map(|log| log.at)
            .filter(|at| *at > told + Milliseconds::seconds(5))
            .collect();
        assert_eq!(late, vec![], "new work in a withdrawn zone");
    });
}

/// Sends an operator's request on a connection of its own, and leaves that open without reading.
fn send_unread(daemon: &Daemon, path: &str) -> TcpStream {
    let mut connection = TcpStream::connect(daemon.listen.0).expect("the kernel accepts it");
    let head = format!("POST {path} HTTP/1.1\r\nHost: controller\r\nContent-Length: 0\r\n\r\n");
    connection.write_all(head.as_bytes()).expect("it is sent");
    connection
}

/// The HTTP status of the response on a connection.
fn read_status(mut connection: TcpStream) -> Option<u16> {
    connection
        .set_read_timeout(Some(PATIENCE.duration()))
        .expect("a time-out");
    let mut response = vec![0; 64];
    let length = connection.read(&mut response).expect("a response");
    let text = String::from_utf8_lossy(&response[..length]).into_owned();
    text.split(' ').nth(1)?.parse().ok()
}

/// The zones that are withdrawn, by the core's answer.
fn withdrawn_zones(fleet: &Fleet) -> serde_json::Value {
    let answer = OnceCell::new();
    let read = || {
        let answers = fleet.controllers.iter().map(|d| d.get("/v1/latest"));
        let complete = answers.flatten().find(|(status, _)| *status == 200);
        complete.is_some_and(|(_, body)| answer.set(body).is_ok())
    };
    Fleet::await_that(PATIENCE, "the core answers", read).expect("it does");
    let body = answer.get().expect("it has answered");
    let latest: serde_json::Value = serde_json::from_slice(body).expect("JSON");
    latest["withdrawn"].clone()
}

/// Guards against a restore that a suspended controller reads after others have acknowledged it and the next
/// withdrawal: it was taken for a new order and opened the withdrawn zone (docs/incidents/request-read-late.md).
#[test]
fn a_request_that_a_suspended_controller_reads_late_does_not_undo_those_after_it() {
    let deployment = Deployment::Pahana;
    let (_process_group, fleet, _machine) = serving(deployment);
    let zone = fleet.routers[2].zone.clone();
    let path_of = |what: &str, id: &str| format!("/v1/zones/{zone}/{what}?id={id}");
    let acknowledge = |places: &[usize], path: &str| {
        let is_acknowledged = || {
            let post = |place: &usize| fleet.controllers[*place].ask("POST", path, vec![]);
            places
                .iter()
                .any(|place| matches!(post(place), Ok((200, _))))
        };
        Fleet::await_that(PATIENCE, path, is_acknowledged).expect("acknowledged");
    };
    let all: Vec<usize> = (0..fleet.controllers.len()).collect();
    for suspended in all.clone() {
        let others: Vec<usize> = all.iter().copied().filter(|n| *n != suspended).collect();
        acknowledge(&all, &path_of("withdraw", &format!("first-{suspended}")));
        fleet.controllers[suspended].freeze();
        let unread = path_of("restore", &format!("unread-{suspended}"));
        let connection = send_unread(&fleet.controllers[suspended], &unread);
        acknowledge(&others, &path_of("restore", &format!("again-{suspended}")));
        acknowledge(&others, &path_of("withdraw", &format!("back-{suspended}")));
        fleet.controllers[suspended].wake();
        assert_eq!(
            read_status(connection),
            Some(ResultCode::CoreNotReady.http_status()),
            "controller {suspended} carries out what its operator has replaced"
        );
        fleet
            .await_core(PATIENCE)
            .expect("the core is complete again");
        assert_eq!(
            withdrawn_zones(&fleet),
            serde_json::json!([zone]),
            "the last order withdrew the zone"
        );
        acknowledge(&all, &path_of("restore", &format!("end-{suspended}")));
    }
}

#[test]
fn an_empty_machine_at_a_new_address_takes_a_lost_ones_place_and_large_plans_hold_nothing_up() {
    let deployment = Deployment::Valodu;
    let (_crew, mut fleet, _machine) = serving(deployment);
    let latest = |fleet: &Fleet| -> serde_json::Value {
        let asked = fleet.controllers.iter().find_map(|r| {
            r.get("/v1/latest")
                .ok()
                .filter(|(status, _)| *status == 200)
        });
        serde_json::from_slice(&asked.expect("the core tells").1).expect("JSON")
    };
    // Twenty megabytes, and meanwhile leases go on and a zone is withdrawn in time.
    let large = {
        let mut plan: serde_json::Value =
            serde_json::from_str(&plan_of(deployment, true)).expect("JSON");
        plan["note"] = "n".repeat(20 << 20).into();
        plan.to_string()
    };
    let epoch = latest(&fleet)["epoch"].as_u64().expect("an epoch");
    let accepted = std::thread::scope(|scope| {
        let putting = scope.spawn(|| fleet.put_plan("large", epoch, &large));
        let began = Clock::now();
        let (status, _) = fleet.controllers[1]
            .ask("POST", "/v1/zones/river/withdraw?id=now", vec![])
            .expect("a response");
        assert_eq!(status, 200);
        assert!(
            Clock::now().since(began) < Milliseconds::seconds(5),
            "the withdrawal waited for the plan"
        );
        putting.join().expect("it ends")
    });
    let accepted = accepted.expect("the large plan is accepted")["epoch"]
        .as_u64()
        .expect("an epoch");
    let has_all = |router: &Daemon| {
        let believed = router.believes();
        believed["lease_state"] == "leased" && believed["plan_epoch"].as_u64() >= Some(accepted)
    };
    let have_all = || fleet.routers.iter().all(has_all);
    Fleet::await_that(PATIENCE, "all routers hold the large plan", have_all)
        .expect("it reaches all");
    // One is lost with its disk; an empty one comes elsewhere and knows only three seeds.
    fleet.controllers[1].kill();
    let newcomer = fleet.add_controller().expect("it starts");
    let is_seated = || {
        let believed = fleet.controllers[newcomer].believes();
        let own = believed["inner"].clone();
        believed["chain"].as_array().is_some_and(|chain| {
            chain.len() == 4
                && chain
                    .iter()
                    .any(|position| position["address"] == own && position["is_level"] == true)
        })
    };
    Fleet::await_that(PATIENCE, "the newcomer sits in the chain, level", is_seated)
        .expect("admitted");
    let (status, body) = fleet.controllers[newcomer]
        .get(&format!("/v1/plans/{accepted}"))
        .expect("it responds");
    assert!(
        status == 200 && body == large.as_bytes(),
        "the plan reads back byte for byte at the newcomer"
    );
    // The old one's vote is gone: with it back, nobody takes it in, and the rest goes on.
    fleet.controllers[1].start().expect("it starts");
    let voters = fleet.controllers[newcomer].believes()["voters"].clone();
    let old = serde_json::json!(fleet.controllers[1].inner);
    assert!(
        !voters.as_array().expect("voters").contains(&old),
        "{voters}"
    );
    let epoch = latest(&fleet)["epoch"].as_u64().expect("an epoch");
    fleet
        .put_plan("after", epoch, &plan_of(deployment, true))
        .expect("accepted");
}

#[test]
fn when_most_members_are_gone_for_good_an_operator_forgets_them_by_name_and_changes_are_taken_again()
 {
    let deployment = Deployment::Pahana;
    let (_crew, mut fleet, _machine) = serving(deployment);
    let plan = plan_of(deployment, true);
    let latest = |fleet: &Fleet| -> serde_json::Value {
        serde_json::from_slice(
            &fleet.controllers[0]
                .get("/v1/latest")
                .expect("the core tells")
                .1,
        )
        .expect("JSON")
    };
    let forget = |fleet: &Fleet, id: &str, members: &[Address]| -> serde_json::Value {
        let body = serde_json::json!({"members": members})
            .to_string()
            .into_bytes();
        let path = format!("/v1/members/forget?id={id}");
        serde_json::from_slice(
            &fleet.controllers[1]
                .ask("POST", &path, body)
                .expect("a response")
                .1,
        )
        .expect("JSON")
    };
    fleet
        .routers
        .iter_mut()
        .skip(4)
        .for_each(|router| router.kill());
    let lost: Vec<Address> = fleet.routers[4..]
        .iter()
        .map(|router| router.inner)
        .collect();
    let epoch = latest(&fleet)["epoch"].as_u64().expect("an epoch");
    // Once the leases of the lost have run out, nothing is accepted, and so it stays.
    let is_refused = || {
        fleet
            .put_plan("too-few", epoch, &plan)
            .is_err_and(|why| why.contains("303"))
    };
    Fleet::await_that(PATIENCE, "the core misses its members", is_refused)
        .expect("no majority, no change");
    // One that lives is named, too: nothing changes, and the answer says who is heard.
    let living = fleet.routers[0].inner;
    let outcome = forget(&fleet, "wrong", &[lost[0], living]);
    let why = outcome["why"].as_str().unwrap_or_default();
    assert!(
        outcome["code"] == 310 && why.contains(&living.to_string()),
        "{outcome}"
    );
    assert_eq!(
        forget(&fleet, "unknown", &[Address::loopback(1)])["code"],
        309
    );
    let is_forgotten = || forget(&fleet, "gone", &lost)["code"] == 300;
    Fleet::await_that(PATIENCE, "the lost are forgotten", is_forgotten).expect("nobody hears them");
    assert_eq!(
        forget(&fleet, "gone", &lost)["code"],
        300,
        "a repeat is told the same"
    );
    let now = latest(&fleet);
    assert_eq!(now["members"].as_array().map(Vec::len), Some(4), "{now}");
    fleet
        .put_plan("after", now["epoch"].as_u64().expect("an epoch"), &plan)
        .expect("changes are taken again");
    // One of them after all: it joins again as any newcomer.
    fleet.routers[8].start().expect("it starts");
    Fleet::await_that(PATIENCE, "it's a member again", || {
        fleet.routers[8].is_ready()
    })
    .expect("it joins");
}

#[test]
fn a_brownout_makes_few_repeats_and_dark_servers_are_left_alone() {
    let deployment = Deployment::Pahana;
    let (process_group, mut fleet, _machine) = serving(deployment);
    for (place, server) in process_group.models.iter().enumerate() {
        match place {
            0..2 => server.inject_fault(ServerFault {
                is_dark: true,
                ..ServerFault::default()
            }),
            2..7 => server.inject_fault(ServerFault {
                does_refuse: true,
                ..ServerFault::default()
            }),
            _ => {}
        }
    }
    let report = under_load(deployment, &mut fleet, &process_group, 8, |_| {
        std::thread::sleep(std::time::Duration::from_secs(8));
    });
    let questions = &report.services["questions"];
    // As the servers count: every ask, those refused and never answered included.
    for (service, (asks, requests)) in process_group.asks() {
        assert!(
            (asks - requests) * 5 <= requests + 5 * 10,
            "{service}: {asks} asks for {requests} requests: {report}"
        );
    }
    assert!(questions.complete > 0, "{report}");
    let suspected = |place: usize| {
        let name = process_group.models[place].name().0;
        fleet
            .routers
            .iter()
            .filter(|c| c.believes()["servers"][&name]["faults"].as_u64() > Some(0))
            .count()
    };
    assert!(
        suspected(0) + suspected(1) > 0,
        "nobody noticed that two servers are dark: {report}"
    );
}

/// `docs/incidents/new-seeds-then-all-killed.md`: those that restart know but controllers without a disk.
#[test]
fn service_returns_after_a_kill_of_all_though_no_seed_has_a_disk() {
    let (_crew, mut fleet, _machine) = serving(Deployment::Pahana);
    (0..3).for_each(|_| {
        fleet
            .add_relay()
            .expect("a controller without a disk starts");
    });
    let seeds: Vec<Address> = fleet.relays.iter().map(|relay| relay.inner).collect();
    fleet.name_seeds(&seeds).expect("settings are written");
    fleet.restart_all().expect("all start again");
    fleet
        .await_core(PATIENCE)
        .expect("the chain is whole again");
    fleet
        .await_routers(PATIENCE)
        .expect("routers find the core");
    let mut number = 0;
    Fleet::await_that(PATIENCE, "a request is served", || {
        serves(&fleet, &mut number)
    })
    .expect("it is");
    // A machine that is added later finds the core by them, too, and operators are sent to those that serve.
    let added = fleet.add_controller().expect("it starts");
    fleet.name_seeds(&seeds).expect("settings are written");
    fleet.controllers[added].kill();
    fleet.controllers[added]
        .start()
        .expect("it starts with the new seeds");
    let knows_core = |fleet: &Fleet| fleet.controllers[added].believes()["view"].as_u64() > Some(0);
    Fleet::await_that(PATIENCE, "the newcomer knows the view", || {
        knows_core(&fleet)
    })
    .expect("it does");
    for relay in &fleet.relays {
        let served = || {
            relay
                .get("/v1/latest")
                .is_ok_and(|(status, _)| status == 200 || status == 307)
        };
        Fleet::await_that(PATIENCE, "operators are sent on", served).expect("they are");
    }
}
