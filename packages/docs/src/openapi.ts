import { z } from 'zod';
import type { AdminRoute } from '@redwingcrank/protocol';
import { ADMIN_ROUTES, adminProblemSchema } from '@redwingcrank/protocol';
import type { GeneratedFile } from './generated-file.js';

const TEXT_PATHS = {
  '/healthz': 'The process is running and its event loop is not blocked',
  '/readyz': '200 if the node has caught up with the log and is not draining; 503 otherwise',
  '/metrics': 'Metrics in the text format of Prometheus',
};

const REFUSALS = {
  400: 'A parameter is malformed (104)',
  401: 'The key is missing or not accepted (106)',
};

function jsonBody(schema: z.ZodType, description: string) {
  const { $schema: _schema, ...body } = z.toJSONSchema(schema, { io: 'output' });
  return { description, content: { 'application/json': { schema: body } } };
}

function jsonPath({ summary, query, answer }: AdminRoute) {
  const parameters = Object.entries(query).map(([name, description]) => ({
    name,
    in: 'query',
    description,
    required: name === 'task' && summary.startsWith('Why'),
    schema: name === 'limit' ? { type: 'integer', minimum: 1 } : { type: 'string' },
  }));
  const refusals = Object.entries(REFUSALS).map(([status, description]) => [
    status,
    jsonBody(adminProblemSchema, description),
  ]);
  const responses = { 200: jsonBody(answer, summary), ...Object.fromEntries(refusals) };
  return { get: { summary, parameters, security: [{ key: [] }], responses } };
}

function textPath(summary: string) {
  return {
    get: { summary, responses: { 200: { description: summary, content: { 'text/plain': {} } } } },
  };
}

/** The OpenAPI description of the administration API, generated from its validation schemas. */
export const openapiFile: GeneratedFile = {
  path: 'docs/openapi.json',
  generate: () => {
    const textPaths = Object.entries(TEXT_PATHS).map(([path, summary]) => [
      path,
      textPath(summary),
    ]);
    const jsonPaths = Object.values(ADMIN_ROUTES).map((route) => [route.path, jsonPath(route)]);
    return JSON.stringify({
      openapi: '3.1.0',
      info: {
        title: 'redwingcrank administration API',
        version: 'v1',
        description:
          'Read-only, on the administration listener of each node. A node answers for its own ' +
          'data centre, with the state up to where it has read the log.',
      },
      paths: Object.fromEntries([...textPaths, ...jsonPaths]),
      components: { securitySchemes: { key: { type: 'http', scheme: 'bearer' } } },
    });
  },
};
