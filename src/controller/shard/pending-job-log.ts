/** Logs at intervals why jobs that have waited for long are still pending. */
import { LOG_EVENT } from '../../core/log-events.js';
import type { JobId } from '../../core/model/ids.js';
import type { JobRecord } from '../../core/model/jobs.js';
import type { WallClockMs } from '../../core/model/time.js';
import type { WaitReason } from '../../core/placement/placement-types.js';
import type { ControllerContext } from '../controller-context.js';

/** A job is logged once it has been pending for this time, and again at this interval. */
const LOG_INTERVAL_MS = 30_000;

/** Logs pending jobs with their wait reasons, each job at most once per interval. */
export class PendingJobLog {
  private readonly loggedAt = new Map<JobId, WallClockMs>();

  constructor(private readonly context: ControllerContext) {}

  /** Logs those of the jobs whose interval has passed. Drops the log times of jobs without a wait reason. */
  log(jobs: readonly JobRecord[], waitReasons: ReadonlyMap<JobId, WaitReason>): void {
    const now = this.context.clock.wallClock();
    for (const id of this.loggedAt.keys()) if (!waitReasons.has(id)) this.loggedAt.delete(id);
    for (const { spec, submitted } of jobs) {
      const { id, team, priority } = spec;
      const reason = waitReasons.get(id);
      const loggedAt = Math.max(submitted, this.loggedAt.get(id) ?? 0);
      if (reason === undefined || now - loggedAt < LOG_INTERVAL_MS) continue;
      this.loggedAt.set(id, now);
      const waitsS = Math.round((now - submitted) / 1000);
      this.context.log.info({ job: id, team, priority, waitsS, reason }, LOG_EVENT.jobPending);
    }
  }
}
