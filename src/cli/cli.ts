/**
 * The command line. `serve` is the default command, since the platform starts the program with `--config PATH` only.
 */
import { readFileSync, writeSync } from 'node:fs';
import { Command, CommanderError } from 'commander';
import pino from 'pino';
import { readOperatorSettingsFiles, type OperatorSettings } from '../config/operator-settings.js';
import { SettingsError, readPlatformSettings, type PlatformSettings } from '../config/platform-settings.js';
import { paths } from '../io/paths.js';
import type { LoadedPlugin } from '../plugin-host/api.js';
import { loadPlugins } from '../plugin-host/plugin-loader.js';

const VERSION = '0.1.0';
/** Exit code if a controller refused or did not answer a request, or if the program failed; 0 means success. */
const EXIT_FAILED = 1;
/** Exit code for wrong usage, invalid settings and input files that cannot be read. */
const EXIT_USAGE = 2;

/** How long a command waits for the controller's answer. */
const ANSWER_TIMEOUT_MS = 5000;

const printOutput = (text: string) => writeSync(1, `${text}\n`);
const printError = (text: string) => writeSync(2, `${text}\n`);

interface FileOptions {
  config: string;
  operator?: string[];
}

interface LoadedSettings {
  readonly settings: PlatformSettings;
  readonly operator: OperatorSettings;
  readonly plugins: readonly LoadedPlugin[];
}

function readText(path: string): string {
  try {
    return readFileSync(path, 'utf8');
  } catch (cause) {
    throw new SettingsError(`${path}: cannot read the settings file: ${(cause as Error).message}`, { cause });
  }
}

function loadSettings(files: FileOptions): LoadedSettings {
  const text = readText(files.config);
  const settings = withPathInErrors(files.config, () => readPlatformSettings(text));
  const fromEnvironment = process.env['PEPPERBANK_OPERATOR'];
  const operatorPaths = files.operator ?? (fromEnvironment === undefined ? [] : [fromEnvironment]);
  const operatorFiles = operatorPaths.map((path) => ({ path, text: readText(path) }));
  const operator = readOperatorSettingsFiles(operatorFiles);
  if (Object.keys(operator.packages).length === 0) return { settings, operator, plugins: [] };
  // The files are merged by now, so that an error in a plugin's section names all of them; it also names the
  // section.
  return withPathInErrors(operatorPaths.join(', '), () => ({
    settings,
    operator,
    plugins: loadPlugins(operator.packages, settings),
  }));
}

/** Runs `read`; a `SettingsError` that it throws is thrown again with `path` before its message. */
function withPathInErrors<T>(path: string, read: () => T): T {
  try {
    return read();
  } catch (cause) {
    if (!(cause instanceof SettingsError)) throw cause;
    throw new SettingsError(`${path}: ${cause.message}`, { cause });
  }
}

async function serve(files: FileOptions): Promise<void> {
  const { settings, operator, plugins } = loadSettings(files);
  const level = process.env['LOG_LEVEL'] ?? 'info';
  const log = pino(
    { level: ['error', 'info', 'debug'].includes(level) ? level : 'info', base: { node: settings.node } },
    pino.destination({ fd: 2, sync: true }),
  );
  const { serve: serveController } = await import('../controller/serve.js');
  await serveController(settings, operator, log, plugins);
}

/**
 * Sends a request to a controller and prints its answer. The exit code is 1 if the request was refused or not answered.
 */
async function printAnswer(
  address: string,
  method: 'GET' | 'POST',
  path: string,
  body?: unknown,
  { indent, timeoutMs = ANSWER_TIMEOUT_MS }: { indent?: number; timeoutMs?: number } = {},
): Promise<void> {
  const { HttpClient } = await import('../io/http-client.js');
  const client = new HttpClient(address.replace(/^http:\/\//, '').replace(/\/$/, ''), 1);
  try {
    const response = await client.request(method, path, body, timeoutMs);
    printOutput(JSON.stringify(response.body, null, indent));
    if (response.status >= 300) {
      printError(`${address}: ${method} ${path} was answered with status ${response.status}, expected 2xx`);
      process.exitCode = EXIT_FAILED;
    }
  } catch (error) {
    printError(
      `${address}: ${method} ${path} failed, expected a JSON answer within ${timeoutMs} ms: ${(error as Error).message}`,
    );
    process.exitCode = EXIT_FAILED;
  } finally {
    await client.close();
  }
}

const addFileOptions = (command: Command) =>
  command
    .requiredOption('--config <path>', "the platform's settings file (TOML)")
    .option(
      '--operator <path>',
      "an operators' settings file (TOML); may be given several times; default: the file named by PEPPERBANK_OPERATOR",
      (path: string, previous: string[] | undefined) => [...(previous ?? []), path],
    );

const addAddressOption = (command: Command) =>
  command.requiredOption(
    '--address <host:port>',
    "the address of a controller's HTTP server",
    '127.0.0.1:8080',
  );

interface AddressOption {
  readonly address: string;
}

/** Adds the commands that run a controller or check its settings. */
function addControllerCommands(program: Command): void {
  addFileOptions(
    program.command('serve', { isDefault: true }).description('run a controller (the default)'),
  ).action(serve);
  addFileOptions(program.command('check-config').description('check the settings files and exit')).action(
    (files: FileOptions) => {
      const { settings, plugins } = loadSettings(files);
      const enabled = plugins.length === 0 ? '' : `, packages: ${plugins.map(({ name }) => name).join(', ')}`;
      printOutput(
        `ok: ${settings.node}, ${settings.teams.length} teams, ${settings.controllerCount} controllers${enabled}`,
      );
    },
  );
}

/** Adds users' commands. */
function addJobCommands(program: Command): void {
  addAddressOption(
    program.command('submit').description('submit the job that a JSON file describes').argument('<file>'),
  ).action(async (file: string, options: AddressOption) => {
    let body: unknown;
    try {
      body = JSON.parse(readFileSync(file, 'utf8'));
    } catch (cause) {
      throw new SettingsError(`${file}: cannot read a job as JSON: ${(cause as Error).message}`, { cause });
    }
    await printAnswer(options.address, 'POST', paths.jobs, body);
  });
  addAddressOption(program.command('show').description('show the status of a job').argument('<id>')).action(
    async (id: string, options: AddressOption) => {
      await printAnswer(options.address, 'GET', paths.job.replace(':id', encodeURIComponent(id)));
    },
  );
  addAddressOption(program.command('cancel').description('cancel a job').argument('<id>')).action(
    async (id: string, options: AddressOption) => {
      await printAnswer(options.address, 'POST', paths.cancel.replace(':id', encodeURIComponent(id)));
    },
  );
}

/**
 * Longer than for other commands: a handover waits until the standbys have the whole log, and for the state service.
 */
const HANDOVER_TIMEOUT_MS = 30_000;

/** Adds operators' commands. */
function addOperatorCommands(program: Command): void {
  addAddressOption(
    program
      .command('status')
      .description('show teams, slices, machines and why jobs are pending, as the controller sees them'),
  ).action(async (options: AddressOption) => {
    await printAnswer(options.address, 'GET', paths.status, undefined, { indent: 2 });
  });
  addAddressOption(
    program
      .command('handover')
      .description('hand over the slices of a controller to its warm standbys, before it is restarted')
      .option('--to <node>', 'hand over to this controller only'),
  ).action(async (options: AddressOption & { to?: string }) => {
    const path = paths.pluginCommand.replace(':name', 'warm_standby').replace(':command', 'handover');
    const body = options.to === undefined ? {} : { to: options.to };
    await printAnswer(options.address, 'POST', path, body, { indent: 2, timeoutMs: HANDOVER_TIMEOUT_MS });
  });
}

/** Runs the command that the arguments name. An error is printed and sets `process.exitCode`; nothing is thrown. */
export async function run(argv: readonly string[]): Promise<void> {
  const program = new Command('pepperbank');
  program.description('A cluster scheduler').version(VERSION).exitOverride();
  addControllerCommands(program);
  addJobCommands(program);
  addOperatorCommands(program);
  try {
    await program.parseAsync([...argv]);
  } catch (error) {
    reportError(error);
  }
}

function reportError(error: unknown): void {
  if (error instanceof CommanderError) {
    process.exitCode = error.exitCode === 0 ? 0 : EXIT_USAGE;
    return;
  }
  const isSettingsError = error instanceof SettingsError;
  printError(`pepperbank: ${isSettingsError ? error.message : String((error as Error).stack)}`);
  process.exitCode = isSettingsError ? EXIT_USAGE : EXIT_FAILED;
}
