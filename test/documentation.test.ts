/**
 * Documentation compared with the code. Guards against pages that lack a log event or list a removed one, and pages that
 * name files that were moved or deleted.
 */
import assert from 'node:assert/strict';
import { existsSync, readFileSync, readdirSync } from 'node:fs';
import path from 'node:path';
import { describe, test } from 'node:test';
import { LOG_EVENT as STANDBY_LOG_EVENT } from '../packages/warm-standby/src/log-events.js';
import { LOG_EVENT } from '../src/core/log-events.js';

/** In a path, `NAME` stands for any name; such paths are not checked. */
const PLACEHOLDER = /\bNAME\b/;
/** Reports of incidents name files as they were at that time, so their paths are not checked. */
const HISTORY_FOLDER = 'docs/incidents/';

const pages = (): string[] => [
  'README.md',
  'CONTRIBUTING.md',
  ...readdirSync('docs', { recursive: true, encoding: 'utf8' })
    .filter((name) => name.endsWith('.md'))
    .map((name) => path.posix.join('docs', name.replaceAll(path.sep, '/'))),
];

/** The log events in the first column of a page's table of log events. */
function documentedEvents(page: string): string[] {
  const lines = readFileSync(page, 'utf8').split('\n');
  const header = lines.findIndex((line) => /^\| event +\| level/.test(line));
  assert.ok(header >= 0, `${page} has no table of log events`);
  const events: string[] = [];
  for (const line of lines.slice(header + 2)) {
    const event = /^\| `([^`]+)`/.exec(line)?.[1];
    if (event === undefined) break;
    events.push(event);
  }
  return events;
}

describe('log events', () => {
  test('of the service are exactly those that docs/operations.md lists', () => {
    assert.deepEqual(documentedEvents('docs/operations.md').sort(), Object.values(LOG_EVENT).sort());
  });

  test('of warm standby are exactly those that docs/operations/warm-standby.md lists', () => {
    const documented = documentedEvents('docs/operations/warm-standby.md');
    assert.deepEqual(documented.sort(), Object.values(STANDBY_LOG_EVENT).sort());
  });
});

/** Yields each match of the pattern and its page, except in reports of incidents. */
function* mentions(pattern: RegExp): Generator<{ page: string; named: string }> {
  for (const page of pages()) {
    if (page.startsWith(HISTORY_FOLDER)) continue;
    for (const [named] of readFileSync(page, 'utf8').matchAll(pattern))
      if (!PLACEHOLDER.test(named)) yield { page, named };
  }
}

describe('pages', () => {
  test('name only files and folders that exist', () => {
    const missing: string[] = [];
    for (const { page, named } of mentions(/(?<![\w/])(?:src|test|docs|packages|deploy)\/[\w./-]*[\w/]/g))
      if (!existsSync(named)) missing.push(`${page}: ${named}`);
    for (const { page, named } of mentions(/(?<=`)(?:core|controller|io|plugin-host)\/[\w./-]*[\w/]/g))
      if (!existsSync(path.join('src', named))) missing.push(`${page}: ${named}`);
    assert.deepEqual(missing, []);
  });

  test('name only test files that exist', () => {
    const files = new Set(
      ['test', 'packages/warm-standby/test', 'packages/tracing/test'].flatMap((folder) =>
        readdirSync(folder),
      ),
    );
    const missing: string[] = [];
    for (const { page, named } of mentions(/(?<![\w/-])[\w-]+\.test\.ts\b/g))
      if (!files.has(named)) missing.push(`${page}: ${named}`);
    assert.deepEqual(missing, []);
  });
});
