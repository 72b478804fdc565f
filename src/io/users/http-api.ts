/** The interfaces that a controller implements for the HTTP server. */
import type { Heartbeat, HeartbeatReply } from '../../core/model/heartbeats.js';
import type { JobId } from '../../core/model/ids.js';
import type { CancellationResult, SubmissionResult } from '../../core/model/job-results.js';
import type { JobSpec, JobStatus } from '../../core/model/jobs.js';

/** Users' requests about jobs. Each method throws `UnavailableError` when the request cannot be answered at present. */
export interface JobRequests {
  submit(spec: JobSpec): Promise<SubmissionResult>;
  /** Returns the status of the job; undefined if no job with this id was ever accepted. */
  find(id: JobId): Promise<JobStatus | undefined>;
  cancel(id: JobId): Promise<CancellationResult>;
}

/** Answers agents' heartbeats. */
export interface HeartbeatHandler {
  answer(heartbeat: Heartbeat): HeartbeatReply;
}

/** A plugin's reply to an operator's command: HTTP status and JSON body. */
export interface PluginCommandReply {
  readonly status: number;
  readonly body: object;
}

/** Operators' requests to plugins: commands and metrics. */
export interface PluginRequests {
  /** Runs a plugin's command; null if the plugin or the command does not exist. */
  command(pluginName: string, command: string, body: unknown): Promise<PluginCommandReply | null>;
  /** Returns the metrics of all plugins in the Prometheus text format. */
  metrics(): Promise<string>;
}
