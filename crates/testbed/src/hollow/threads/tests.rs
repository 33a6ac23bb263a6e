use super::*;

/// A machine as its kernel shows it: files below a folder of its own.
struct Machine(tempfile::TempDir);

impl Machine {
    /// The kernel allows 257,592 threads and 32,768 ids; 12,012 threads run, 330 of them are seen from here,
    /// 30 of them another user's.
    fn new() -> Machine {
        let machine = Machine(tempfile::tempdir().expect("a folder"));
        machine.write("proc/sys/kernel/threads-max", "257592\n");
        machine.write("proc/sys/kernel/pid_max", "32768\n");
        machine.write("proc/loadavg", "58.21 62.34 42.20 64/12012 433\n");
        machine.write(
            "proc/self/limits",
            "Limit Soft Hard Units\nMax processes             128609  unlimited  processes\n",
        );
        machine.write(
            "proc/self/cgroup",
            "9:name=systemd:/\n8:pids:/a/b\n4:memory:/c\n0::/\n",
        );
        for (process, user, threads) in [
            ("self", 0, 300),
            ("1", 0, 250),
            ("77", 0, 50),
            ("4711", 1000, 30),
        ] {
            let status =
                format!("Name:\tx\nUid:\t{user}\t{user}\t{user}\t{user}\nThreads:\t{threads}\n");
            machine.write(&format!("proc/{process}/status"), &status);
        }
        machine
    }
    fn write(&self, path: &str, text: &str) {
        let path = self.0.path().join(path);
        fs::create_dir_all(path.parent().expect("a folder")).expect("made");
        fs::write(path, text).expect("written");
    }
    fn read(&self) -> ThreadBounds {
        ThreadBounds::read(&self.0.path().join("proc"), &self.0.path().join("cgroup"))
            .expect("bounds")
    }
}

#[test]
fn each_bound_is_set_against_the_threads_that_it_counts() {
    let bounds = Machine::new().read();
    assert_eq!(
        bounds.kernel,
        ThreadBound {
            most: 257_592,
            in_use: 12_012
        }
    );
    assert_eq!(
        bounds.ids,
        ThreadBound {
            most: 32_768,
            in_use: 330
        }
    );
    assert_eq!(
        bounds.user,
        Some(ThreadBound {
            most: 128_609,
            in_use: 300
        })
    );
    assert_eq!(bounds.groups, []);
    assert_eq!(bounds.free(), 32_768 - 330, "ids are what bounds it");
}

#[test]
fn the_tightest_bound_counts() {
    let machine = Machine::new();
    machine.write("cgroup/pids/a/b/pids.max", "max\n");
    machine.write("cgroup/pids/a/b/pids.current", "80\n");
    machine.write("cgroup/pids/a/pids.max", "500\n");
    machine.write("cgroup/pids/a/pids.current", "400\n");
    machine.write("cgroup/memory/c/pids.max", "7\n");
    machine.write("cgroup/memory/c/pids.current", "0\n");
    assert_eq!(
        (machine.read().groups, machine.read().free()),
        (
            vec![ThreadBound {
                most: 500,
                in_use: 400
            }],
            100
        )
    );
    machine.write(
        "proc/self/limits",
        "Max processes             unlimited  unlimited  processes\n",
    );
    assert_eq!((machine.read().user, machine.read().free()), (None, 100));
    machine.write("proc/loadavg", "0.0 0.0 0.0 1/257592 9\n");
    assert_eq!(machine.read().free(), 0, "the kernel has no more");
}

#[test]
fn a_group_of_version_2_bounds_too() {
    let machine = Machine::new();
    machine.write("proc/self/cgroup", "0::/service\n");
    machine.write("cgroup/service/pids.max", "350\n");
    machine.write("cgroup/service/pids.current", "300\n");
    assert_eq!(machine.read().free(), 50);
}

#[test]
fn what_the_kernel_says_here_can_be_read() {
    let bounds =
        ThreadBounds::read(Path::new("/proc"), Path::new("/sys/fs/cgroup")).expect("bounds");
    for bound in [bounds.kernel, bounds.ids] {
        assert!(bound.in_use > 0 && bound.in_use <= bound.most, "{bounds:?}");
    }
}
