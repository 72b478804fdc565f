/** What the HTTP server serves: the interfaces that a controller implements for it. */
import type { Heartbeat, HeartbeatReply } from '../../core/model/heartbeats.js';
import type { JobId } from '../../core/model/ids.js';
import type { CancellationResult, SubmissionResult } from '../../core/model/job-results.js';
import type { JobSpec, JobStatus } from '../../core/model/jobs.js';

/** Users' requests; each throws `UnavailableError` where it cannot be answered now. */
export interface JobRequests {
  submit(spec: JobSpec): Promise<SubmissionResult>;
  /** Undefined: never accepted. */
  find(id: JobId): Promise<JobStatus | undefined>;
  cancel(id: JobId): Promise<CancellationResult>;
}

/** Answers agents' heartbeats. */
export interface HeartbeatHandler {
  answer(heartbeat: Heartbeat): HeartbeatReply;
}

/** What a package answers to an operator's command. */
export interface PackageCommandReply {
  readonly status: number;
  readonly body: object;
}

/** Operators' commands to packages, and the metrics of packages. */
export interface PackageRequests {
  /** Null: there is no such package or command. */
  command(packageName: string, command: string, body: unknown): Promise<PackageCommandReply | null>;
  /** In the text format of Prometheus. */
  metrics(): Promise<string>;
}
