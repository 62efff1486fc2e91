node(name = "n7", listen = "[::1]:9000", seed = 5, dispatchers = 2, zone = "east")
job_class(name = "quick", worth = 0.5, aim = 100 * ms, deadline = 1 * s, effect = "unsafe", attempts = 1)
job_class(name = "file", worth = 5, aim = 4 * s, stretch = 2, deadline = 25 * s, effect = "keyed",
          repeat_scope = "cell", repeat_window = 40 * s, attempts = 2, zones = ["west"], kinds = ["big"],
          longest_body = 1 * GiB, least_rate = 2 * KiB, stall = 5 * s, long_results = True,
          deadline_to = "first")
worker(id = "w1", address = "10.0.0.1:91", zone = "west", kind = "big", cell = 3, weight = 2.5)
worker(id = "w2", address = "10.0.0.2:91", zone = "east", kind = "small", cell = 0, weight = 1)
director(address = "10.0.0.9:85", ask_within = 4 * s)
limits(attempts = 4, second_copies = True, retry_after = 0 * s, sockets = 300, connect_timeout = 300 * ms,
       idle_timeout = 7 * s, probes = True)
bodies(budget = 16 * MiB, window = 256 * KiB, lent = 1 * MiB, spool = 300 * KiB, of_a_client = 4 * MiB)
reports(load = False, starts = False, progress = 1500 * ms)
cold_start(from_share = 0.32, warm_within = 8.8 * s, overload = 2.5, tip_after = 2 * s)
goal(whole = 1, worst_window = 2, worst_class = 3)
logs(format = "json", level = "debug")
control(socket = "/run/c.sock")
state(folder = "/var/c")
