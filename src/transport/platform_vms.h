/*
 * platform_vms -- client of the platform's list of VMs.
 *
 * The list lags behind the VMs' real state.  struct vm_list_client is the
 * interface; platform_vms_create() implements it over HTTP.
 */
#ifndef TRANSPORT_PLATFORM_VMS_H
#define TRANSPORT_PLATFORM_VMS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define VM_TEXT_MAX 128 /* size of a text, with the NUL */

struct event_base;

enum vm_role {
	VM_ENTRY = 1, /* values as in enum tm_role */
	VM_ENGINE = 2,
	VM_SERVICE = 3,
};

struct vm_info {
	char id[VM_TEXT_MAX];
	char zone[VM_TEXT_MAX]; /* data centre */
	char address[VM_TEXT_MAX]; /* RPC address of the VM's daemon */
	char service[VM_TEXT_MAX]; /* VM_SERVICE: name of the service */
	enum vm_role role;
	bool leaving; /* the VM is to be removed */
};

/* Valid during the callback. */
struct vm_list {
	const struct vm_info *vms;
	size_t count;
	size_t bytes; /* size of the platform's answer */
};

struct vm_list_client_ops {
	/* Reads the list; done() gets NULL if there is no usable answer. */
	void (*fetch)(void *priv,
	    void (*done)(void *ctx, const struct vm_list *list), void *ctx);
	void (*destroy)(void *priv);
};

struct vm_list_client {
	const struct vm_list_client_ops *ops;
	void *priv;
};

struct platform_vms_options {
	struct event_base *base;
	const char *address; /* IP:PORT */
	int64_t timeout_us; /* of a read */
};

/* Returns 0, or -1 if the address is malformed or if out of memory. */
int platform_vms_create(
    struct vm_list_client *, const struct platform_vms_options *);

#endif
